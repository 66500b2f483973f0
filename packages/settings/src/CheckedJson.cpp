#include "CheckedJson.h"

#include "Schemas.h"

#include <array>
#include <memory>
#include <set>
#include <utility>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>
#include <vector>

namespace banyanrill::settings {

namespace {

using base::Errc;
using base::Error;
using nlohmann::json;

constexpr std::size_t MaxMessageBytes = 256;

/// Watches a parse for what the parser itself accepts.
struct ParseWatch {
  std::vector<std::set<std::string>> openObjects;
  std::string duplicate;
  bool hasDuplicate = false;
  bool tooDeep = false;

  void observe(int depth, json::parse_event_t event, const json &parsed) {
    this->tooDeep = this->tooDeep || depth >= static_cast<int>(MaxJsonDepth);
    if (event == json::parse_event_t::object_start)
      this->openObjects.emplace_back();
    if (event == json::parse_event_t::object_end)
      this->openObjects.pop_back();
    if (event != json::parse_event_t::key || this->hasDuplicate)
      return;
    const std::string &name = parsed.get_ref<const std::string &>();
    if (!this->openObjects.back().insert(name).second) {
      this->hasDuplicate = true;
      this->duplicate = name;
    }
  }
};

std::string_view schemaText(Subtree subtree) {
  switch (subtree) {
  case Subtree::Operation:
    return OperationSchema;
  case Subtree::Service:
  case Subtree::Batch:
  case Subtree::Gang:
    return JobSchema;
  case Subtree::Note:
    return "{}";
  case Subtree::Quota:
    return QuotaSchema;
  case Subtree::Token:
    return TokenSchema;
  case Subtree::Worker:
    return WorkerSchema;
  case Subtree::DataCentre:
    return DataCentreSchema;
  case Subtree::Owner:
    return OwnerSchema;
  }
  return "{}";
}

constexpr std::size_t SubtreeCount = static_cast<std::size_t>(Subtree::Owner) + 1;

using SchemaTable = std::array<std::unique_ptr<const valijson::Schema>, SubtreeCount>;

SchemaTable parseSchemas() {
  SchemaTable table;
  for (std::size_t number = 0; number < SubtreeCount; ++number) {
    const json document = json::parse(schemaText(static_cast<Subtree>(number)));
    auto schema = std::make_unique<valijson::Schema>();
    valijson::SchemaParser().populateSchema(valijson::adapters::NlohmannJsonAdapter(document),
                                            *schema);
    table[number] = std::move(schema);
  }
  return table;
}

const valijson::Schema &schemaOf(Subtree subtree) {
  static const SchemaTable Schemas = parseSchemas();
  return *Schemas[static_cast<std::size_t>(subtree)];
}

/// valijson names places as "<root>", "[member]" and "[0]".
std::string pointerOf(const std::vector<std::string> &context) {
  std::string pointer;
  for (const std::string &part : context) {
    if (part.size() > 2 && part.front() == '[' && part.back() == ']')
      pointer += "/" + part.substr(1, part.size() - 2);
  }
  return printable(pointer);
}

} // namespace

std::string printable(std::string_view text) {
  std::string copy(text.substr(0, MaxMessageBytes));
  for (char &character : copy) {
    if (character < ' ' || character > '~')
      character = '?';
  }
  return copy;
}

base::Result<json> parseJson(const std::string &text) {
  ParseWatch watch;
  try {
    json value = json::parse(text, [&](int depth, json::parse_event_t event, const json &parsed) {
      watch.observe(depth, event, parsed);
      return true;
    });
    if (watch.tooDeep)
      return Error{Errc::Malformed, "",
                   "values are nested at most " + std::to_string(MaxJsonDepth) + " levels deep"};
    if (watch.hasDuplicate)
      return Error{Errc::Malformed, "",
                   "a member name occurs once in an object: '" + printable(watch.duplicate) + "'"};
    return value;
  } catch (const json::parse_error &error) {
    return Error{Errc::Malformed, "", "not valid JSON at byte " + std::to_string(error.byte)};
  } catch (const json::out_of_range &) {
    return Error{Errc::Malformed, "", "a number is outside the range of a 64-bit float"};
  }
}

base::Status checkSchema(Subtree subtree, const json &value) {
  if (subtree == Subtree::Note)
    return std::monostate{};
  valijson::ValidationResults results;
  valijson::Validator validator;
  const valijson::adapters::NlohmannJsonAdapter adapter(value);
  if (!validator.validate(schemaOf(subtree), adapter, &results)) {
    // The first error is the innermost; those that follow repeat it for the enclosing values.
    valijson::ValidationResults::Error first;
    results.popError(first);
    return Error{Errc::SchemaViolation, pointerOf(first.context), printable(first.description)};
  }
  // Not in the schema, because an "if" or "oneOf" there gives a message that names no member.
  if (subtree == Subtree::Token && value.at("role") == "team" && !value.contains("team"))
    return Error{Errc::SchemaViolation, "/team", "a token of role 'team' names its team"};
  return std::monostate{};
}

} // namespace banyanrill::settings
