#include "banyanrill/daemon/Config.h"

#include <algorithm>
#include <cassert>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

namespace banyanrill::daemon {

namespace {

using nlohmann::json;

constexpr const char *Schema = R"({
  "type": "object",
  "required": ["cell", "daemon", "peers", "admin_token_sha256"],
  "additionalProperties": false,
  "properties": {
    "cell": {"type": "string", "minLength": 1, "maxLength": 64},
    "daemon": {"type": "integer", "minimum": 1, "maximum": 65535},
    "data_folder": {"type": "string", "minLength": 1},
    "admin_token_sha256": {"type": "string", "pattern": "^[0-9a-f]{64}$"},
    "log_level": {"enum": ["debug", "info", "warning", "error"]},
    "tls": {
      "type": "object",
      "required": ["certificate", "private_key"],
      "additionalProperties": false,
      "properties": {
        "certificate": {"type": "string", "minLength": 1},
        "private_key": {"type": "string", "minLength": 1},
        "client_authority": {"type": "string", "minLength": 1}
      }
    },
    "peers": {
      "type": "array",
      "minItems": 1,
      "maxItems": 64,
      "items": {
        "type": "object",
        "required": ["daemon", "region", "data_centre", "address", "peer_port", "http_port"],
        "additionalProperties": false,
        "properties": {
          "daemon": {"type": "integer", "minimum": 1, "maximum": 65535},
          "region": {"type": "string", "minLength": 1, "maxLength": 64},
          "data_centre": {"type": "string", "minLength": 1, "maxLength": 64},
          "address": {"type": "string", "pattern": "^[0-9a-fA-F.:]+$"},
          "peer_port": {"type": "integer", "minimum": 1, "maximum": 65535},
          "http_port": {"type": "integer", "minimum": 1, "maximum": 65535},
          "replica": {"type": "boolean"}
        }
      }
    }
  }
})";

base::Error violation(std::string path, std::string rule) {
  return {base::Errc::SchemaViolation, std::move(path), std::move(rule)};
}

base::Status checkSchema(const json &document) {
  valijson::Schema schema;
  valijson::SchemaParser parser;
  const json schemaDocument = json::parse(Schema);
  parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schemaDocument), schema);
  valijson::Validator validator;
  valijson::ValidationResults results;
  if (validator.validate(schema, valijson::adapters::NlohmannJsonAdapter(document), &results))
    return std::monostate{};
  valijson::ValidationResults::Error first;
  results.popError(first);
  std::string path;
  for (const std::string &part : first.context)
    path += part;
  return violation(path, first.description);
}

Peer parsePeer(const json &value) {
  Peer peer;
  peer.daemon = value.at("daemon").get<base::DaemonId>();
  peer.region = value.at("region").get<std::string>();
  peer.dataCentre = value.at("data_centre").get<std::string>();
  peer.address = value.at("address").get<std::string>();
  peer.peerPort = value.at("peer_port").get<std::uint16_t>();
  peer.httpPort = value.at("http_port").get<std::uint16_t>();
  peer.replica = value.value("replica", false);
  return peer;
}

base::Severity parseSeverity(const std::string &name) {
  if (name == "debug")
    return base::Severity::Debug;
  if (name == "warning")
    return base::Severity::Warning;
  if (name == "error")
    return base::Severity::Error;
  return base::Severity::Info;
}

/// Rules that a schema cannot state.
base::Status checkConsistency(const Config &config) {
  std::set<base::DaemonId> seen;
  for (const Peer &peer : config.peers) {
    if (!seen.insert(peer.daemon).second)
      return violation("<root>[peers]",
                       "daemon " + std::to_string(peer.daemon) + " is listed twice");
  }
  const Peer *self = config.find(config.daemon);
  if (!self)
    return violation("<root>[daemon]", "must be one of the daemons under peers");
  if (self->replica && config.dataFolder.empty())
    return violation("<root>[data_folder]", "is required for a daemon with \"replica\": true");
  const auto replicas = std::count_if(config.peers.begin(), config.peers.end(),
                                      [](const Peer &peer) { return peer.replica; });
  if (replicas == 0)
    return violation("<root>[peers]", "at least one daemon must have \"replica\": true");
  return std::monostate{};
}

} // namespace

const Peer &Config::self() const {
  const Peer *peer = this->find(this->daemon);
  assert(peer);
  return *peer;
}

const Peer *Config::find(base::DaemonId id) const {
  for (const Peer &peer : this->peers) {
    if (peer.daemon == id)
      return &peer;
  }
  return nullptr;
}

base::Result<Config> parseConfig(const std::string &text) {
  json document;
  try {
    document = json::parse(text);
  } catch (const json::parse_error &failure) {
    return base::Error{base::Errc::Malformed, "byte " + std::to_string(failure.byte),
                       "not valid JSON"};
  }
  if (const base::Status status = checkSchema(document); !status)
    return status.error();
  Config config;
  config.cell = document.at("cell").get<std::string>();
  config.daemon = document.at("daemon").get<base::DaemonId>();
  config.dataFolder = document.value("data_folder", "");
  config.adminTokenSha256 = document.at("admin_token_sha256").get<std::string>();
  config.logLevel = parseSeverity(document.value("log_level", "info"));
  for (const json &peer : document.at("peers"))
    config.peers.push_back(parsePeer(peer));
  if (document.contains("tls")) {
    const json &tls = document.at("tls");
    config.tls = {tls.at("certificate").get<std::string>(),
                  tls.at("private_key").get<std::string>(), tls.value("client_authority", "")};
  }
  if (const base::Status status = checkConsistency(config); !status)
    return status.error();
  return config;
}

base::Result<Config> readConfig(const std::string &fileName) {
  std::ifstream file(fileName, std::ios::binary);
  if (!file)
    return base::Error{base::Errc::NotFound, fileName, "the settings file cannot be read"};
  std::ostringstream text;
  text << file.rdbuf();
  return parseConfig(text.str());
}

} // namespace banyanrill::daemon
