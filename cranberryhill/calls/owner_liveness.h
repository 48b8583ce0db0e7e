#ifndef CRANBERRYHILL_CALLS_OWNER_LIVENESS_H_
#define CRANBERRYHILL_CALLS_OWNER_LIVENESS_H_

// Interface that tells which owners of claims have ended.
//
//   if (owners.HasEnded("entry-2/17")) ...

#include <string_view>

namespace cranberryhill {

class OwnerLiveness {
 public:
  virtual ~OwnerLiveness() = default;

  /// @param owner An instance and incarnation, as in
  /// CallDeduplicatorConfig::owner.
  /// @return True if the membership of the instances shows that this
  /// incarnation has ended.
  virtual bool HasEnded(std::string_view owner) const = 0;
};

/// Reports no owner as ended, so that claims of other owners expire by time
/// only.
class NoOwnerLiveness : public OwnerLiveness {
 public:
  bool HasEnded(std::string_view /*owner*/) const override { return false; }
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_CALLS_OWNER_LIVENESS_H_
