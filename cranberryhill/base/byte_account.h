#ifndef CRANBERRYHILL_BASE_BYTE_ACCOUNT_H_
#define CRANBERRYHILL_BASE_BYTE_ACCOUNT_H_

// Bounds the bytes that a process keeps for all its messages together. A bound
// for each message alone does not keep a process within its memory when many
// messages grow at the same time.
//
//   ByteAccount account(32 << 20, 0.25);
//   ByteAccount::Reservation bytes = account.Open(replica_id);
//   if (!bytes.Grow(body.size() + data.size())) ...give the message up...

#include <cstddef>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"

namespace cranberryhill {

/// Not thread-safe.
class ByteAccount {
 public:
  /// The first bytes of each reservation are not counted, so that ordinary
  /// messages find room while large ones have used it up.
  static constexpr size_t kUncountedBytes = 16 << 10;

  /// The bytes of one message. Gives them back at the end of its life.
  class Reservation {
   public:
    /// Belongs to no account and grows without bounds.
    Reservation() = default;
    Reservation(Reservation&& other) noexcept;
    Reservation& operator=(Reservation&& other) noexcept;
    ~Reservation();

    /// Raises the reservation to `bytes` in all. A smaller number changes
    /// nothing.
    /// @return False if the account or the share of the owner has no room; the
    ///     reservation is unchanged then.
    bool Grow(size_t bytes);

    /// @return True if the share of the owner, by itself, has room for `bytes`
    ///     in this reservation; if not, the owner is to blame for a refusal.
    bool IsWithinOwnerShare(size_t bytes) const;

    /// Gives all bytes back.
    void Release();

   private:
    friend class ByteAccount;
    Reservation(ByteAccount& account, std::string_view owner)
        : account(&account), owner(owner) {}

    ByteAccount* account = nullptr;
    std::string owner;
    size_t counted = 0;
  };

  /// @param capacity Bytes for all owners together.
  /// @param owner_share Largest part of it that one owner may use, from 0 to 1,
  ///     so that a faulty one leaves room for the others.
  ByteAccount(size_t capacity, double owner_share);

  /// @param owner Who causes the bytes, such as a replica or a caller.
  /// @return An empty reservation. The account must outlive it.
  Reservation Open(std::string_view owner) { return Reservation(*this, owner); }

  /// @return Counted bytes of all reservations.
  size_t used() const { return this->used_bytes; }  // NOLINT

 private:
  size_t UsedBy(const std::string& owner) const;
  bool Add(const std::string& owner, size_t bytes);
  void Subtract(const std::string& owner, size_t bytes);

  const size_t capacity;
  const size_t owner_limit;
  size_t used_bytes = 0;
  absl::flat_hash_map<std::string, size_t> used_by_owner;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_BASE_BYTE_ACCOUNT_H_
