// Guards against an example settings file that the daemon refuses.
#include "banyanrill/daemon/Config.h"

#include <CppUTest/TestHarness.h>

TEST_GROUP(ExampleSettings){};

TEST(ExampleSettings, AreAccepted) {
  const auto config =
      banyanrill::daemon::readConfig(BANYANRILL_SOURCE_DIR "/docs/example/daemon.json");
  CHECK_TEXT(config.ok(), config.ok() ? "" : config.error().path.c_str());
}
