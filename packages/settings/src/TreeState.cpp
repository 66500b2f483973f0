#include "TreeState.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace banyanrill::settings {

namespace {

std::size_t sizeOf(const Text &text) { return text ? text->size() : 0; }

} // namespace

bool isName(std::string_view name, bool mayBeEmpty) {
  return (mayBeEmpty || !name.empty()) && name.size() <= MaxNameBytes &&
         std::all_of(name.begin(), name.end(),
                     [](char character) { return character >= ' ' && character <= '~'; });
}

std::size_t HeldAuditRecord::bytes() const {
  return this->author.size() + this->requestId.size() + this->path.size() + sizeOf(this->before) +
         sizeOf(this->after);
}

const HeldRequest *TreeContents::findRequest(const std::string &requestId) const {
  const auto found = this->requestNumbers.find(requestId);
  if (found == this->requestNumbers.end())
    return nullptr;
  return &this->requests[found->second - this->droppedRequests];
}

void TreeContents::addRequest(HeldRequest request, const TreeLimits &limits) {
  const bool added =
      this->requestNumbers.emplace(request.requestId, this->droppedRequests + this->requests.size())
          .second;
  assert(added);
  static_cast<void>(added);
  this->requests.push_back(std::move(request));
  while (this->requests.size() > limits.requestIds) {
    this->requestNumbers.erase(this->requests.front().requestId);
    this->requests.pop_front();
    ++this->droppedRequests;
  }
}

void TreeContents::addAudit(HeldAuditRecord record, const TreeLimits &limits) {
  this->auditBytes += record.bytes();
  this->audit.push_back(std::move(record));
  while (this->audit.size() > limits.auditRecords ||
         (this->auditBytes > limits.auditBytes && !this->audit.empty())) {
    this->auditBytes -= this->audit.front().bytes();
    this->auditFloor = this->audit.front().revision;
    this->audit.pop_front();
  }
}

void TreeContents::setValue(const std::string &path, HeldValue value) {
  const auto [entry, added] = this->values.try_emplace(path);
  this->valueBytes += value.json->size();
  this->valueBytes += added ? path.size() : 0;
  this->valueBytes -= sizeOf(entry->second.json);
  entry->second = std::move(value);
}

void TreeContents::removeValue(const std::string &path) {
  const auto found = this->values.find(path);
  if (found == this->values.end())
    return;
  this->valueBytes -= path.size() + found->second.json->size();
  this->values.erase(found);
}

} // namespace banyanrill::settings
