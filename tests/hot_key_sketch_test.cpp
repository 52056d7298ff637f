#include "entry/hot_key_sketch.h"

#include <gtest/gtest.h>

namespace jasminespread {
namespace {

// Guards against missing a hot key in a stream with far more keys than the sketch holds, and against unbounded memory.
TEST(HotKeySketchTest, FindsHotKeysInBoundedMemory)
{
    HotKeySketch sketch(64);
    for (int i = 0; i < 100'000; ++i) {
        sketch.add("cold-" + std::to_string(i));
        if (i % 10 == 0) {
            sketch.add("hot-a");
        }
        if (i % 20 == 0) {
            sketch.add("hot-b");
        }
        ASSERT_LE(sketch.size(), 64U);
    }
    const std::vector<HotKeySketch::KeyCount> keys = sketch.takeTopKeys(2);
    ASSERT_EQ(keys.size(), 2U);
    EXPECT_EQ(keys[0].key, "hot-a");
    EXPECT_EQ(keys[1].key, "hot-b");
    EXPECT_LE(keys[0].count, 10'000U);
    EXPECT_GE(keys[0].count, 8'000U);
    EXPECT_EQ(sketch.size(), 0U);
}

// Guards against reporting a rare key as hot because of the count inherited from the key it replaced.
TEST(HotKeySketchTest, CountIsALowerBound)
{
    HotKeySketch sketch(2);
    for (int i = 0; i < 100; ++i) {
        sketch.add("a");
        sketch.add("b");
    }
    sketch.add("c");
    for (const HotKeySketch::KeyCount& key : sketch.takeTopKeys(10)) {
        if (key.key == "c") {
            EXPECT_EQ(key.count, 1U);
        }
    }
}

} // namespace
} // namespace jasminespread
