#include "cranberryhill/calls/service_client.h"

#include <utility>

#include "cranberryhill/calls/internal/http_exchange.h"

namespace cranberryhill {
namespace {

constexpr absl::Duration kRetryAfter = absl::Seconds(1);

bool IsGatewayError(const CallResult& result) {
  return result.status == 502 || result.status == 503 || result.status == 504;
}

// One call, the backend servers for it and the number of those already tried.
struct ServiceCallJob {
  ServiceCall call;
  MaySend may_send;
  std::vector<ServiceAddress> candidates;
  size_t next_candidate = 0;
  bool may_have_run = false;
  std::function<void(const SendOutcome&)> on_outcome;
};

using ServiceCallJobPtr = std::shared_ptr<ServiceCallJob>;

}  // namespace

class ServiceClient::State
    : public std::enable_shared_from_this<ServiceClient::State> {
 public:
  State(ServiceClientConfig config,
        const Clock& clock,
        const ServiceDirectory& directory,
        WorkerPool& pool,
        Executor& executor)
      : config(config),
        clock(clock),
        directory(directory),
        pool(pool),
        executor(executor),
        call_retry_budget(config.retry_budget, clock) {}

  ServiceCallJobPtr NewJob(const ServiceCall& call) {
    auto job = std::make_shared<ServiceCallJob>();
    job->call = call;
    job->candidates = this->directory.Candidates(call.service);
    if (job->candidates.size() > this->config.max_attempts)
      job->candidates.resize(this->config.max_attempts);
    return job;
  }

  // Sends the call to the next backend server on a thread of the pool and runs
  // on_outcome on the core thread. The thread uses only what the task has
  // captured, so that this object may be destroyed before the task ends.
  void TryNextCandidate(const ServiceCallJobPtr& job) {
    if (job->next_candidate >= job->candidates.size()) {
      this->PostOutcome(job, "the service has no backend server");
      return;
    }
    HttpExchangeLimits limits{this->config.connect_timeout,
                              this->config.answer_timeout,
                              this->config.max_answer_bytes};
    ServiceAddress address = job->candidates[job->next_candidate++];
    bool queued = this->pool.Submit([weak = this->weak_from_this(), job,
                                     address, limits, &clock_ref = this->clock,
                                     &core_executor = this->executor] {
      SendOutcome outcome =
          RunHttpExchange(address, job->call, limits, job->may_send, clock_ref);
      core_executor.Post([weak, job, outcome = std::move(outcome)] {
        if (weak.lock() != nullptr)
          job->on_outcome(outcome);
      });
    });
    if (!queued)
      this->PostOutcome(job, "too many service calls are running");
  }

  bool HasNextCandidate(const ServiceCallJob& job) const {
    return job.next_candidate < job.candidates.size() &&
           this->clock.Now() < job.call.deadline;
  }

  void OnSendOnceOutcome(const ServiceCallJobPtr& job,
                         const SendOutcome& outcome,
                         const SendCallback& callback) {
    if (outcome.state == SendState::kNothingSent && !outcome.send_not_allowed &&
        this->HasNextCandidate(*job)) {
      this->TryNextCandidate(job);
      return;
    }
    callback(outcome);
  }

  void OnSendIdempotentOutcome(const ServiceCallJobPtr& job,
                               const SendOutcome& outcome,
                               const CallCallback& callback) {
    if (outcome.state != SendState::kNothingSent)
      job->may_have_run = true;
    bool answered = outcome.state == SendState::kAnswered;
    bool is_success = answered && !IsGatewayError(outcome.result);
    if (!is_success && !outcome.send_not_allowed &&
        this->HasNextCandidate(*job) && this->call_retry_budget.TryRetry()) {
      this->TryNextCandidate(job);
    } else if (answered) {
      callback(outcome.result);
    } else {
      callback(this->ToRefusal(*job, outcome));
    }
  }

  const Clock& call_clock() const { return this->clock; }  // NOLINT

  CallRetryBudget& budget() { return this->call_retry_budget; }  // NOLINT

 private:
  void PostOutcome(const ServiceCallJobPtr& job, std::string detail) {
    this->executor.Post(
        [weak = this->weak_from_this(), job, detail = std::move(detail)] {
          if (weak.lock() != nullptr)
            job->on_outcome({SendState::kNothingSent, {}, false, detail});
        });
  }

  Refusal ToRefusal(const ServiceCallJob& job,
                    const SendOutcome& outcome) const {
    RefusalCode code = RefusalCode::kBackendFailed;
    if (outcome.send_not_allowed || this->clock.Now() >= job.call.deadline) {
      code = RefusalCode::kDeadlineExpired;
    } else if (!job.may_have_run) {
      code = RefusalCode::kNoBackendServer;
    }
    Refusal refusal = MakeRefusal(
        code,
        job.may_have_run ? RefusalOutcome::kUnknown : RefusalOutcome::kNotRun,
        outcome.detail);
    refusal.retry_after = kRetryAfter;
    return refusal;
  }

  const ServiceClientConfig config;
  const Clock& clock;
  const ServiceDirectory& directory;
  WorkerPool& pool;
  Executor& executor;
  CallRetryBudget call_retry_budget;
};

ServiceClient::ServiceClient(ServiceClientConfig config,
                             const Clock& clock,
                             const ServiceDirectory& directory,
                             WorkerPool& pool,
                             Executor& executor)
    : state(std::make_shared<State>(config, clock, directory, pool, executor)) {
}

ServiceClient::~ServiceClient() = default;

// on_outcome holds a plain pointer to the state, because it runs only while the
// state exists. It holds a weak pointer to the job that owns it, because a
// shared pointer would keep the job alive forever.
void ServiceClient::SendOnce(const ServiceCall& call,
                             MaySend may_send,
                             SendCallback callback) {
  ServiceCallJobPtr job = this->state->NewJob(call);
  job->may_send = std::move(may_send);
  job->on_outcome =
      [self = this->state.get(), weak = std::weak_ptr<ServiceCallJob>(job),
       callback = std::move(callback)](const SendOutcome& outcome) {
        self->OnSendOnceOutcome(weak.lock(), outcome, callback);
      };
  this->state->TryNextCandidate(job);
}

void ServiceClient::SendIdempotent(const ServiceCall& call,
                                   CallCallback callback) {
  ServiceCallJobPtr job = this->state->NewJob(call);
  job->may_send = [&clock_ref = this->state->call_clock(),
                   deadline = call.deadline] {
    return clock_ref.Now() < deadline;
  };
  job->on_outcome =
      [self = this->state.get(), weak = std::weak_ptr<ServiceCallJob>(job),
       callback = std::move(callback)](const SendOutcome& outcome) {
        self->OnSendIdempotentOutcome(weak.lock(), outcome, callback);
      };
  this->state->budget().OnRequest();
  this->state->TryNextCandidate(job);
}

}  // namespace cranberryhill
