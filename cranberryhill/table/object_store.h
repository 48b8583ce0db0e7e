#ifndef CRANBERRYHILL_TABLE_OBJECT_STORE_H_
#define CRANBERRYHILL_TABLE_OBJECT_STORE_H_

// The platform's object store: whole objects by name.
//
//   store.Put("calls/annex/1", body, [](const std::optional<Error>& error) {});

#include <functional>
#include <optional>
#include <string>

#include "cranberryhill/base/result.h"

namespace cranberryhill {

/// Receives nothing when the object is stored. kUnavailable: nothing was sent;
/// kUnknown: no answer, it may be stored. A repeat of a put is harmless.
using PutObjectCallback = std::function<void(const std::optional<Error>&)>;

/// Receives the content, kNotFound, kUnavailable or kUnknown.
using GetObjectCallback = std::function<void(const Outcome<std::string>&)>;

/// Callbacks run on the caller's thread, at most once: they
/// are dropped when the worker threads are stopped first. Not thread-safe.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  /// Writes or replaces an object. @param name Letters, digits and "._-/".
  virtual void Put(std::string name,
                   std::string content,
                   PutObjectCallback callback) = 0;

  virtual void Get(std::string name, GetObjectCallback callback) = 0;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_TABLE_OBJECT_STORE_H_
