#include "cranberryhill/base/byte_account.h"

#include <utility>

namespace cranberryhill {
namespace {

/// @return How many bytes of a message are counted.
size_t CountedOf(size_t bytes) {
  return bytes > ByteAccount::kUncountedBytes
             ? bytes - ByteAccount::kUncountedBytes
             : 0;
}

}  // namespace

ByteAccount::Reservation::Reservation(Reservation&& other) noexcept
    : account(std::exchange(other.account, nullptr)),
      owner(std::move(other.owner)),
      counted(std::exchange(other.counted, 0)) {}

ByteAccount::Reservation& ByteAccount::Reservation::operator=(
    Reservation&& other) noexcept {
  if (this != &other) {
    this->Release();
    this->account = std::exchange(other.account, nullptr);
    this->owner = std::move(other.owner);
    this->counted = std::exchange(other.counted, 0);
  }
  return *this;
}

ByteAccount::Reservation::~Reservation() {
  this->Release();
}

bool ByteAccount::Reservation::IsWithinOwnerShare(size_t bytes) const {
  if (this->account == nullptr)
    return true;
  size_t others = this->account->UsedBy(this->owner) - this->counted;
  return others + CountedOf(bytes) <= this->account->owner_limit;
}

bool ByteAccount::Reservation::Grow(size_t bytes) {
  size_t wanted = CountedOf(bytes);
  if (this->account == nullptr || wanted <= this->counted)
    return true;
  if (!this->account->Add(this->owner, wanted - this->counted))
    return false;
  this->counted = wanted;
  return true;
}

void ByteAccount::Reservation::Release() {
  if (this->counted > 0)
    this->account->Subtract(this->owner, std::exchange(this->counted, 0));
}

ByteAccount::ByteAccount(size_t capacity, double owner_share)
    : capacity(capacity),
      owner_limit(
          static_cast<size_t>(static_cast<double>(capacity) * owner_share)) {}

size_t ByteAccount::UsedBy(const std::string& owner) const {
  auto found = this->used_by_owner.find(owner);
  return found == this->used_by_owner.end() ? 0 : found->second;
}

bool ByteAccount::Add(const std::string& owner, size_t bytes) {
  if (bytes > this->capacity - this->used_bytes ||
      this->UsedBy(owner) + bytes > this->owner_limit)
    return false;
  this->used_bytes += bytes;
  this->used_by_owner[owner] += bytes;
  return true;
}

void ByteAccount::Subtract(const std::string& owner, size_t bytes) {
  this->used_bytes -= bytes;
  auto found = this->used_by_owner.find(owner);
  found->second -= bytes;
  if (found->second == 0)
    this->used_by_owner.erase(found);
}

}  // namespace cranberryhill
