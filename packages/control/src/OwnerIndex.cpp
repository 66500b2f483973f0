#include "banyanrill/control/OwnerIndex.h"

namespace banyanrill::control {

bool OwnerIndex::refresh(const settings::Tree &tree) {
  if (this->revision == tree.revision())
    return false;
  this->revision = tree.revision();
  this->owners.clear();
  for (const auto &[path, value] : tree.list("/system/owners"))
    this->owners[{path.substr(path.rfind('/') + 1)}] = parseOwner(value.json);
  return true;
}

std::optional<Owner> OwnerIndex::find(const base::WorkerId &worker) const {
  const auto found = this->owners.find(worker);
  return found == this->owners.end() ? std::nullopt : std::optional(found->second);
}

} // namespace banyanrill::control
