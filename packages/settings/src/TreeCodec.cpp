// Saved form of a tree: one MessagePack array (see `encodeTree`). Each distinct text is stored
// once.
#include "SettingPath.h"
#include "TreeState.h"

#include <cassert>
#include <msgpack.hpp>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace banyanrill::settings {

namespace {

using nlohmann::json;

constexpr const char *FormatName = "banyanrill settings";
constexpr std::uint64_t FormatVersion = 1;
constexpr std::size_t MaxNesting = 4;
constexpr std::uint32_t TreeFields = 8;
constexpr std::uint32_t ValueFields = 3;
constexpr std::uint32_t AuditFields = 7;
constexpr std::uint32_t RequestFields = 9;

/// Appends packed values to a string, as the packer wants it.
struct StringSink {
  std::string bytes;

  void write(const char *data, std::size_t size) { this->bytes.append(data, size); }
};

using Packer = msgpack::packer<StringSink>;

/// Numbers texts in the order of their first use, which is the same for equal contents.
class TextTable {
public:
  void packNumberOf(const Text &text, Packer &packer) {
    if (text)
      this->packNumberOf(*text, packer);
    else
      packer.pack_nil();
  }

  /// \param text must outlive the table.
  void packNumberOf(const std::string &text, Packer &packer) {
    const auto [entry, added] = this->numbers.try_emplace(text, this->texts.size());
    if (added)
      this->texts.emplace_back(text);
    packer.pack(entry->second);
  }

  void packTexts(Packer &packer) const {
    packer.pack_array(lengthOf(this->texts));
    for (const std::string_view text : this->texts)
      packer.pack(text);
  }

  /// Lengths are far below 2^32, because of the limits of a tree.
  template <typename Container> static std::uint32_t lengthOf(const Container &container) {
    assert(container.size() <= UINT32_MAX);
    return static_cast<std::uint32_t>(container.size());
  }

private:
  std::unordered_map<std::string_view, std::uint64_t> numbers;
  std::vector<std::string_view> texts;
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
    Fields fields(item, ValueFields);
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
    Fields fields(item, AuditFields);
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
    Fields fields(item, RequestFields);
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

// Packed directly: building a document of the library first takes several times as long, and the
// task that saves the tree can decide nothing meanwhile.
std::string encodeTree(const TreeContents &contents) {
  TextTable texts;
  StringSink listSink;
  Packer lists(listSink);
  lists.pack_array(TextTable::lengthOf(contents.values));
  for (const auto &[path, value] : contents.values) {
    lists.pack_array(ValueFields);
    lists.pack(path);
    texts.packNumberOf(value.json, lists);
    lists.pack(value.version);
  }
  lists.pack_array(TextTable::lengthOf(contents.audit));
  for (const HeldAuditRecord &record : contents.audit) {
    lists.pack_array(AuditFields);
    lists.pack(record.revision);
    lists.pack(record.wallClockMs);
    lists.pack(record.author);
    lists.pack(record.requestId);
    lists.pack(record.path);
    texts.packNumberOf(record.before, lists);
    texts.packNumberOf(record.after, lists);
  }
  lists.pack_array(TextTable::lengthOf(contents.requests));
  for (const HeldRequest &request : contents.requests) {
    const Outcome &outcome = request.outcome;
    lists.pack_array(RequestFields);
    lists.pack(request.requestId);
    lists.pack(request.fingerprint);
    lists.pack(outcome.accepted);
    lists.pack(outcome.revision);
    lists.pack(outcome.errorPath);
    lists.pack(outcome.errorMessage);
    lists.pack(outcome.errorCode);
    if (outcome.current)
      texts.packNumberOf(outcome.current->json, lists);
    else
      lists.pack_nil();
    lists.pack(outcome.current ? outcome.current->version : Revision{0});
  }

  StringSink sink;
  Packer packer(sink);
  packer.pack_array(TreeFields);
  packer.pack(FormatName);
  packer.pack(FormatVersion);
  packer.pack(contents.revision);
  packer.pack(contents.auditFloor);
  texts.packTexts(packer);
  sink.bytes += listSink.bytes;
  return std::move(sink.bytes);
}

std::optional<TreeContents> decodeTree(const std::string &saved, const TreeLimits &limits) {
  SavedReader reader;
  if (!json::sax_parse(saved.begin(), saved.end(), &reader, json::input_format_t::msgpack))
    return std::nullopt;
  Fields fields(reader.result, TreeFields);
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
