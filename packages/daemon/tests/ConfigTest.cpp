// Guards against a settings file that is accepted with a mistake, or refused without naming it.
#include "banyanrill/daemon/Config.h"

#include <CppUTest/TestHarness.h>

using banyanrill::daemon::parseConfig;

namespace {

const std::string Digest(64, 'a');

std::string file(const std::string &extra, const std::string &peers) {
  return R"({"cell":"c","daemon":1,"admin_token_sha256":")" + Digest + "\"," + extra +
         R"("peers":[)" + peers + "]}";
}

const std::string Peer1 =
    R"({"daemon":1,"region":"r","data_centre":"d","address":"127.0.0.1","peer_port":1,"http_port":2,"replica":true})";

} // namespace

TEST_GROUP(Config){static void refuses(const std::string &text, const std::string &path){
    const auto config = parseConfig(text);
CHECK(!config.ok());
STRCMP_CONTAINS(path.c_str(), config.error().path.c_str());
CHECK(!config.error().message.empty());
}
}
;

TEST(Config, AcceptsACompleteFile) {
  const auto config = parseConfig(file(R"("data_folder":"data",)", Peer1));
  CHECK(config.ok());
  CHECK(config.value().self().replica);
}

TEST(Config, NamesTheUnknownMember) { refuses(file(R"("data_foldr":"x",)", Peer1), "root"); }

TEST(Config, RefusesAReplicaWithoutAFolder) { refuses(file("", Peer1), "data_folder"); }

TEST(Config, RefusesTheSameDaemonTwice) {
  refuses(file(R"("data_folder":"d",)", Peer1 + "," + Peer1), "peers");
}

TEST(Config, RefusesTextThatIsNotJson) { refuses("{", "byte"); }
