#include "banyanrill/base/Identifier.h"

namespace banyanrill::base {

std::string joined(const std::vector<DaemonId> &ids) {
  std::string text;
  for (const DaemonId id : ids)
    text += (text.empty() ? "" : ",") + std::to_string(id);
  return text;
}

} // namespace banyanrill::base
