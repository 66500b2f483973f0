// Guards against log events that docs/events.md does not list, and listed events that do not exist.
#include "banyanrill/base/EventLog.h"

#include <fstream>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using banyanrill::base::eventCatalogue;
using banyanrill::base::EventDefinition;

TEST_GROUP(EventCatalogue){};

TEST(EventCatalogue, AgreesWithTheDocument) {
  std::ifstream document(BANYANRILL_SOURCE_DIR "/docs/events.md");
  std::set<std::string> listed;
  for (std::string line; std::getline(document, line);) {
    if (line.size() > 2 && line[0] == '|' && line[2] >= '1' && line[2] <= '9')
      listed.insert(line.substr(2, line.find('|', 2) - 3));
  }
  for (const EventDefinition &event : eventCatalogue()) {
    const std::string key = std::to_string(event.number);
    CHECK_TEXT(listed.count(key) == 1, ("not in docs/events.md: " + key).c_str());
    listed.erase(key);
  }
  CHECK_TEXT(listed.empty(), "docs/events.md lists an event that does not exist");
}
