#ifndef CRANBERRYHILL_FUZZ_CHECK_H_
#define CRANBERRYHILL_FUZZ_CHECK_H_

// Checks shared by the fuzz targets.
//
//   Check(limits.max_body_bytes >= 1, "body_bytes is within its range");

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "cranberryhill/base/result.h"

/// Runs one input; defined once by each target. A broken property aborts.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size);

namespace cranberryhill {

/// Aborts with `property` on standard error when `holds` is false.
void Check(bool holds, std::string_view property);

/// Checks that a refused input is the input's fault and names the rule.
void CheckRefused(const Error& error);

/// @return The input as text.
std::string_view TextOf(const uint8_t* data, size_t size);

/// Parses a row, formats it and parses it again: the texts must be equal.
/// @param parse Returns Outcome<T>.
/// @param format Returns the text of a T.
template <typename Parse, typename Format>
void CheckRoundTrip(std::string_view text, Parse&& parse, Format&& format) {
  auto record = parse(text);
  if (!record.ok())
    return CheckRefused(record.error());
  std::string first = format(record.value());
  auto again = parse(first);
  Check(again.ok(), "what was formatted can be parsed");
  Check(format(again.value()) == first, "formatting twice gives equal texts");
}

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_FUZZ_CHECK_H_
