// Owners of workers, parsed once for each revision of the settings.
#pragma once

#include "banyanrill/control/State.h"

#include <map>
#include <optional>

namespace banyanrill::control {

/// Cache over the settings' subtree of owners. Not thread-safe.
class OwnerIndex {
public:
  /// Reads the owners again if the settings have changed; returns whether they had.
  bool refresh(const settings::Tree &tree);

  std::optional<Owner> find(const base::WorkerId &worker) const;

private:
  std::optional<settings::Revision> revision;
  std::map<base::WorkerId, Owner> owners;
};

} // namespace banyanrill::control
