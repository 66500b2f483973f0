#include "Slots.h"

#include <algorithm>
#include <limits>

namespace banyanrill::placement {

std::int64_t slotsIn(const base::Resources &free, const base::Resources &demand) {
  if (!free.isValid())
    return 0;
  std::int64_t slots = std::numeric_limits<std::int32_t>::max();
  if (demand.millicores > 0)
    slots = std::min(slots, free.millicores / demand.millicores);
  if (demand.memoryMib > 0)
    slots = std::min(slots, free.memoryMib / demand.memoryMib);
  if (demand.accelerators > 0)
    slots = std::min(slots, free.accelerators / demand.accelerators);
  return slots;
}

} // namespace banyanrill::placement
