// Saved form of a tree: one MessagePack array (see `encodeTree`). Each distinct text is stored
// once.
#include "SettingPath.h"
#include "TreeState.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace banyanrill::settings {

namespace {

using nlohmann::json;

constexpr const char *FormatName = "banyanrill settings";
constexpr std::uint64_t FormatVersion = 1;
constexpr std::size_t MaxNesting = 4;

/// Numbers texts in the order of their first use, which is the same for equal contents.
class TextTable {
public:
  json numberOf(const Text &text) {
    if (!text)
      return nullptr;
    return this->numberOf(*text);
  }

  /// \param text must outlive the table.
  json numberOf(const std::string &text) {
    const auto [entry, added] = this->numbers.try_emplace(text, this->texts.size());
    if (added)
      this->texts.emplace_back(text);
    return entry->second;
  }

  json take() { return std::move(this->texts); }

private:
  std::unordered_map<std::string_view, std::size_t> numbers;
  json::array_t texts;
};

/// Builds the value of a saved tree. Refuses what a saved tree never holds; above all, deep nesting
/// would exhaust the stack of the library's recursive reader.
class SavedReader : public nlohmann::json_sax<json> {
public:
  json result;

  bool null() override { return this->add(nullptr); }
  bool boolean(bool value) override { return this->add(value); }
  bool number_integer(number_integer_t value) override { return this->add(value); }
  bool number_unsigned(number_unsigned_t value) override { return this->add(value); }
  bool number_float(number_float_t /*value*/, const string_t & /*text*/) override { return false; }
  bool string(string_t &value) override { return this->add(std::move(value)); }
  bool binary(binary_t & /*value*/) override { return false; }
  bool start_object(std::size_t /*size*/) override { return false; }
  bool key(string_t & /*name*/) override { return false; }
  bool end_object() override { return false; }
  bool start_array(std::size_t /*size*/) override {
    if (this->open.size() == MaxNesting)
      return false;
    if (this->open.empty()) {
      this->result = json::array();
      this->open.push_back(&this->result);
      return true;
    }
    this->open.back()->push_back(json::array());
    this->open.push_back(&this->open.back()->back());
    return true;
  }
  bool end_array() override {
    this->open.pop_back();
    return true;
  }
  bool parse_error(std::size_t /*position*/, const std::string & /*token*/,
                   const nlohmann::detail::exception & /*error*/) override {
    return false;
  }

private:
  std::vector<json *> open;

  bool add(json value) {
    if (this->open.empty())
      return false;
    this->open.back()->push_back(std::move(value));
    return true;
  }
};

/// Reads the fields of an array in order; the first mismatch makes `ok` false for good.
class Fields {
public:
  Fields(const json &source, std::size_t size) : array(source) {
    this->valid = source.is_array() && source.size() == size;
  }

  bool ok() const { return this->valid; }
  void require(bool condition) { this->valid = this->valid && condition; }

  std::uint64_t number() {
    const json *field = this->next();
    this->require(field != nullptr && field->is_number_unsigned());
    return this->valid ? field->get<std::uint64_t>() : 0;
  }

  std::int64_t integer() {
    const json *field = this->next();
    this->require(field != nullptr && field->is_number_integer());
    this->require(this->valid && (!field->is_number_unsigned() ||
                                  field->get<std::uint64_t>() <= std::uint64_t{INT64_MAX}));
    return this->valid ? field->get<std::int64_t>() : 0;
  }

  bool boolean() {
    const json *field = this->next();
    this->require(field != nullptr && field->is_boolean());
    return this->valid && field->get<bool>();
  }

  std::string text() {
    const json *field = this->next();
    this->require(field != nullptr && field->is_string());
    return this->valid ? field->get<std::string>() : std::string();
  }

  /// A text of the table, or null.
  Text sharedText(const std::vector<Text> &texts) {
    const json *field = this->next();
    this->require(field != nullptr);
    if (!this->valid || field->is_null())
      return nullptr;
    this->require(field->is_number_unsigned() && field->get<std::uint64_t>() < texts.size());
    return this->valid ? texts[field->get<std::uint64_t>()] : nullptr;
  }

  const json &list() {
    static const json Empty = json::array();
    const json *field = this->next();
    this->require(field != nullptr && field->is_array());
    return this->valid ? *field : Empty;
  }

private:
  const json &array;
  std::size_t position = 0;
  bool valid = false;

  const json *next() {
    return this->valid && this->position < this->array.size() ? &this->array[this->position++]
                                                              : nullptr;
  }
};

bool decodeTexts(const json &list, const TreeLimits &limits, std::vector<Text> &texts) {
  for (const json &text : list) {
    if (!text.is_string() || text.get_ref<const std::string &>().size() > limits.valueBytes)
      return false;
    texts.push_back(std::make_shared<const std::string>(text.get_ref<const std::string &>()));
  }
  return true;
}

bool decodeValues(const json &list, const std::vector<Text> &texts, const TreeLimits &limits,
                  TreeContents &contents) {
  for (const json &item : list) {
    Fields fields(item, 3);
    const std::string path = fields.text();
    HeldValue value;
    value.json = fields.sharedText(texts);
    value.version = fields.number();
    fields.require(splitPath(path).has_value() && value.json != nullptr);
    fields.require(value.version > 0 && value.version <= contents.revision);
    // Ascending order excludes a path that occurs twice.
    fields.require(contents.values.empty() || contents.values.rbegin()->first < path);
    if (!fields.ok())
      return false;
    contents.setValue(path, std::move(value));
  }
  return contents.values.size() <= limits.paths && contents.valueBytes <= limits.totalBytes;
}

bool decodeAudit(const json &list, const std::vector<Text> &texts, const TreeLimits &limits,
                 TreeContents &contents) {
  Revision previous = contents.auditFloor;
  for (const json &item : list) {
    Fields fields(item, 7);
    HeldAuditRecord record;
    record.revision = fields.number();
    record.wallClockMs = fields.integer();
    record.author = fields.text();
    record.requestId = fields.text();
    record.path = fields.text();
    record.before = fields.sharedText(texts);
    record.after = fields.sharedText(texts);
    // Revisions after the floor have no gap, so that followers can resume from any of them.
    fields.require(record.revision == previous || record.revision == previous + 1);
    fields.require(record.revision > 0 && splitPath(record.path).has_value());
    fields.require(isName(record.author, true) && isName(record.requestId, false));
    if (!fields.ok())
      return false;
    previous = record.revision;
    contents.auditBytes += record.bytes();
    contents.audit.push_back(std::move(record));
  }
  return previous == contents.revision && contents.audit.size() <= limits.auditRecords &&
         contents.auditBytes <= limits.auditBytes;
}

bool decodeRequests(const json &list, const std::vector<Text> &texts, const TreeLimits &limits,
                    TreeContents &contents) {
  if (list.size() > limits.requestIds)
    return false;
  for (const json &item : list) {
    Fields fields(item, 9);
    HeldRequest request;
    request.requestId = fields.text();
    request.fingerprint = fields.number();
    request.outcome.accepted = fields.boolean();
    request.outcome.revision = fields.number();
    request.outcome.errorPath = fields.text();
    request.outcome.errorMessage = fields.text();
    const std::uint64_t errorCode = fields.number();
    request.outcome.errorCode = static_cast<int>(errorCode);
    const Text current = fields.sharedText(texts);
    const Revision version = fields.number();
    if (current)
      request.outcome.current = Value{*current, version};
    fields.require(isName(request.requestId, false) &&
                   contents.findRequest(request.requestId) == nullptr);
    fields.require(request.outcome.revision <= contents.revision);
    fields.require(errorCode <= static_cast<int>(base::Errc::StorageFailure) &&
                   (errorCode == 0) == request.outcome.accepted);
    if (!fields.ok())
      return false;
    contents.addRequest(std::move(request), limits);
  }
  return true;
}

} // namespace

std::string encodeTree(const TreeContents &contents) {
  TextTable texts;
  json::array_t values;
  values.reserve(contents.values.size());
  for (const auto &[path, value] : contents.values)
    values.push_back(json::array({path, texts.numberOf(value.json), value.version}));
  json::array_t audit;
  audit.reserve(contents.audit.size());
  for (const HeldAuditRecord &record : contents.audit)
    audit.push_back(
        json::array({record.revision, record.wallClockMs, record.author, record.requestId,
                     record.path, texts.numberOf(record.before), texts.numberOf(record.after)}));
  json::array_t requests;
  requests.reserve(contents.requests.size());
  for (const HeldRequest &request : contents.requests) {
    const Outcome &outcome = request.outcome;
    requests.push_back(
        json::array({request.requestId, request.fingerprint, outcome.accepted, outcome.revision,
                     outcome.errorPath, outcome.errorMessage, outcome.errorCode,
                     outcome.current ? texts.numberOf(outcome.current->json) : json(nullptr),
                     outcome.current ? outcome.current->version : Revision{0}}));
  }
  json document = json::array(
      {FormatName, FormatVersion, contents.revision, contents.auditFloor, texts.take()});
  document.push_back(std::move(values));
  document.push_back(std::move(audit));
  document.push_back(std::move(requests));
  std::string saved;
  json::to_msgpack(document, saved);
  return saved;
}

std::optional<TreeContents> decodeTree(const std::string &saved, const TreeLimits &limits) {
  SavedReader reader;
  if (!json::sax_parse(saved.begin(), saved.end(), &reader, json::input_format_t::msgpack))
    return std::nullopt;
  Fields fields(reader.result, 8);
  fields.require(fields.text() == FormatName);
  fields.require(fields.number() == FormatVersion);
  TreeContents contents;
  contents.revision = fields.number();
  contents.auditFloor = fields.number();
  const json &texts = fields.list();
  const json &values = fields.list();
  const json &audit = fields.list();
  const json &requests = fields.list();
  std::vector<Text> shared;
  if (!fields.ok() || !decodeTexts(texts, limits, shared) ||
      !decodeValues(values, shared, limits, contents) ||
      !decodeAudit(audit, shared, limits, contents) ||
      !decodeRequests(requests, shared, limits, contents))
    return std::nullopt;
  return contents;
}

} // namespace banyanrill::settings
