#ifndef CRANBERRYHILL_CALLS_OBJECT_STORE_H_
#define CRANBERRYHILL_CALLS_OBJECT_STORE_H_

// The platform's object store, as far as results of calls need it.
//
//   objects.Put("call/e/c/hash/nonce", bytes, [](bool stored) { ... });

#include <functional>
#include <string>

#include "cranberryhill/base/result.h"

namespace cranberryhill {

using ObjectPutCallback = std::function<void(bool stored)>;
using ObjectGetCallback = std::function<void(const Outcome<std::string>&)>;

/// Callbacks run on the caller's thread, during or after the call, exactly
/// once. Not thread-safe.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  /// Stores `bytes`. A repeat with the same name and bytes has no effect.
  virtual void Put(std::string name,
                   std::string bytes,
                   ObjectPutCallback callback) = 0;

  /// Reads an object; kNotFound when absent, kUnavailable without an answer.
  virtual void Get(std::string name, ObjectGetCallback callback) = 0;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_CALLS_OBJECT_STORE_H_
