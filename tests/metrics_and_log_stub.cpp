#include "../tools/support/metrics_and_log_stub.h"
