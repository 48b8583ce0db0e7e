#ifndef CRANBERRYHILL_CALLS_OWNER_VIEW_H_
#define CRANBERRYHILL_CALLS_OWNER_VIEW_H_

// Tells which instances are known to be gone.
//
//   if (owners.IsGone("entry-2/17")) ...

#include <string_view>

namespace cranberryhill {

class OwnerView {
 public:
  virtual ~OwnerView() = default;

  /// @param owner An instance incarnation as in CallGuardConfig::owner.
  /// @return True when membership says that this incarnation has ended.
  virtual bool IsGone(std::string_view owner) const = 0;
};

/// Knows of no instance that is gone; claims then end by time alone.
class NoOwnerView : public OwnerView {
 public:
  bool IsGone(std::string_view /*owner*/) const override { return false; }
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_CALLS_OWNER_VIEW_H_
