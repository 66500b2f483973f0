// Memory of libwebsockets that stays valid until the end of a round of events.
#pragma once

namespace banyanrill::http {

/// While an object of this type exists, memory that libwebsockets frees on this thread stays valid;
/// its end gives the memory back. libwebsockets 4.1 uses a connection after it has closed it from
/// within one of its own functions, such as a call on a kept connection that the server has reset.
/// At most one on each thread.
class DeferredFrees {
public:
  /// Makes libwebsockets take its memory from here. Before the first context of the process.
  static void install();

  DeferredFrees();
  ~DeferredFrees();
  DeferredFrees(const DeferredFrees &) = delete;
  DeferredFrees &operator=(const DeferredFrees &) = delete;
};

} // namespace banyanrill::http
