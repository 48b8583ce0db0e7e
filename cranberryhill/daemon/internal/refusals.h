#ifndef CRANBERRYHILL_DAEMON_INTERNAL_REFUSALS_H_
#define CRANBERRYHILL_DAEMON_INTERNAL_REFUSALS_H_

// Translates the end of a request's life into what its caller is told.

#include "cranberryhill/caller/refusal.h"
#include "cranberryhill/request/request_state_machine.h"

namespace cranberryhill::internal {

Refusal RefusalOf(const FinishFailure& failure);

}  // namespace cranberryhill::internal

#endif  // CRANBERRYHILL_DAEMON_INTERNAL_REFUSALS_H_
