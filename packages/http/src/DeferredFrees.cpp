#include "DeferredFrees.h"

#include <cassert>
#include <cstddef>
#include <cstdlib>
#include <libwebsockets.h>
#include <vector>

namespace banyanrill::http {

namespace {

struct Deferred {
  bool isActive = false;
  std::vector<void *> blocks;
};

Deferred &deferredOfThread() {
  thread_local Deferred deferred;
  return deferred;
}

/// As `realloc`, but a size of 0 frees the block.
void *reallocate(void *block, std::size_t size, const char * /*reason*/) {
  if (size > 0)
    return std::realloc(block, size);
  Deferred &deferred = deferredOfThread();
  if (deferred.isActive && block != nullptr)
    deferred.blocks.push_back(block);
  else
    std::free(block);
  return nullptr;
}

} // namespace

void DeferredFrees::install() { lws_set_allocator(&reallocate); }

DeferredFrees::DeferredFrees() {
  assert(!deferredOfThread().isActive);
  deferredOfThread().isActive = true;
}

DeferredFrees::~DeferredFrees() {
  Deferred &deferred = deferredOfThread();
  for (void *block : deferred.blocks)
    std::free(block);
  deferred.blocks.clear();
  deferred.isActive = false;
}

} // namespace banyanrill::http
