#include "Environment.h"

#include <cstdio>
#include <unistd.h>

namespace banyanrill::storage {

Environment systemEnvironment() {
  Environment environment;
  environment.files = {::write, ::fdatasync, ::fsync, ::rename, ::unlink};
  return environment;
}

} // namespace banyanrill::storage
