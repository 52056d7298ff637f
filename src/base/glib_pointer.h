#pragma once

#include <glib-object.h>

#include <memory>

namespace jasminespread {

struct GObjectUnref {
    void operator()(gpointer object) const noexcept { g_object_unref(object); }
};

/// Owns one reference to a GObject.
template <typename T> using GObjectPointer = std::unique_ptr<T, GObjectUnref>;

struct GSourceDestroy {
    void operator()(GSource* source) const noexcept
    {
        g_source_destroy(source);
        g_source_unref(source);
    }
};

/// Owns a GSource; detaches it from its main context on destruction.
using GSourcePointer = std::unique_ptr<GSource, GSourceDestroy>;

struct GMainContextUnref {
    void operator()(GMainContext* context) const noexcept { g_main_context_unref(context); }
};

using GMainContextPointer = std::unique_ptr<GMainContext, GMainContextUnref>;

} // namespace jasminespread
