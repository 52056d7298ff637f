// Library that a test preloads into a process to shift its time of day. The file that CLOCK_SHIFT_FILE names holds the
// shift in seconds and is read again at each call.
#include <cstdlib>
#include <ctime>
#include <fcntl.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <unistd.h>

namespace {

constexpr long nsPerUs = 1000;

time_t shiftSeconds()
{
    static const int fd = [] {
        const char* path = std::getenv("CLOCK_SHIFT_FILE");
        return path == nullptr ? -1 : open(path, O_RDONLY | O_CLOEXEC);
    }();
    char text[32] = {};
    return fd >= 0 && pread(fd, text, sizeof text - 1, 0) > 0 ? std::atol(text) : 0;
}

} // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* now) noexcept
{
    const long result = syscall(SYS_clock_gettime, clock, now);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        now->tv_sec += shiftSeconds();
    }
    return static_cast<int>(result);
}

int gettimeofday(timeval* now, void*) noexcept
{
    timespec precise {};
    clock_gettime(CLOCK_REALTIME, &precise);
    now->tv_sec = precise.tv_sec;
    now->tv_usec = precise.tv_nsec / nsPerUs;
    return 0;
}

time_t time(time_t* now) noexcept
{
    timespec precise {};
    clock_gettime(CLOCK_REALTIME, &precise);
    if (now != nullptr) {
        *now = precise.tv_sec;
    }
    return precise.tv_sec;
}

} // extern "C"
