// Changes of workers reported by their owners.
#include "PlannerCore.h"

namespace banyanrill::placement {

void PlannerCore::updateWorker(const WorkerView &view) {
  const std::uint32_t slot = this->workers.update(view);
  const bool quarantined = this->health.isQuarantined(view.id.value);
  if (this->workers.at(slot).quarantined != quarantined)
    this->workers.setQuarantined(slot, quarantined);
}

void PlannerCore::removeWorker(const base::WorkerId &id) {
  const std::uint32_t slot = this->workers.find(id);
  if (slot == NoWorker)
    return;
  if (this->reservation.covers(slot))
    this->reservation.cancel(this->workers);
  this->workers.remove(id);
}

} // namespace banyanrill::placement
