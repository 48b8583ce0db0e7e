#include "cranberryhill/calls/service_client.h"

#include <utility>

#include "cranberryhill/calls/internal/http_exchange.h"

namespace cranberryhill {
namespace {

constexpr absl::Duration kRetryAfter = absl::Seconds(1);

bool IsGatewayError(const CallResult& result) {
  return result.status == 502 || result.status == 503 || result.status == 504;
}

// One call and the backend servers that it has not tried yet.
struct Job {
  ServiceCall call;
  MaySend may_send;
  std::vector<ServiceAddress> candidates;
  size_t next = 0;
  bool may_have_run = false;
  std::function<void(const SendOutcome&)> on_outcome;
};

using JobPtr = std::shared_ptr<Job>;

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
        retries(config.retry_budget, clock) {}

  JobPtr NewJob(const ServiceCall& call) {
    auto job = std::make_shared<Job>();
    job->call = call;
    job->candidates = this->directory.Candidates(call.service);
    if (job->candidates.size() > this->config.max_attempts)
      job->candidates.resize(this->config.max_attempts);
    return job;
  }

  // Runs the exchange with the next candidate on the pool and on_outcome on
  // the core thread. The worker uses only what it captured, so that this
  // object may be destroyed first.
  void TryNext(const JobPtr& job) {
    if (job->next >= job->candidates.size()) {
      this->PostOutcome(job, "the service has no backend server");
      return;
    }
    ExchangeLimits limits{this->config.connect_timeout,
                          this->config.answer_timeout,
                          this->config.max_answer_bytes};
    ServiceAddress address = job->candidates[job->next++];
    bool queued =
        this->pool.Submit([weak = this->weak_from_this(), job, address, limits,
                           &time = this->clock, &core = this->executor] {
          SendOutcome outcome =
              Exchange(address, job->call, limits, job->may_send, time);
          core.Post([weak, job, outcome = std::move(outcome)] {
            if (weak.lock() != nullptr)
              job->on_outcome(outcome);
          });
        });
    if (!queued)
      this->PostOutcome(job, "too many service calls are running");
  }

  bool HasNext(const Job& job) const {
    return job.next < job.candidates.size() &&
           this->clock.Now() < job.call.deadline;
  }

  void OnOnceOutcome(const JobPtr& job,
                     const SendOutcome& outcome,
                     const SendCallback& callback) {
    if (outcome.state == SendState::kNothingSent && !outcome.was_stopped &&
        this->HasNext(*job)) {
      this->TryNext(job);
      return;
    }
    callback(outcome);
  }

  void OnIdempotentOutcome(const JobPtr& job,
                           const SendOutcome& outcome,
                           const CallCallback& callback) {
    if (outcome.state != SendState::kNothingSent)
      job->may_have_run = true;
    bool answered = outcome.state == SendState::kAnswered;
    bool good = answered && !IsGatewayError(outcome.result);
    if (!good && !outcome.was_stopped && this->HasNext(*job) &&
        this->retries.TryRetry()) {
      this->TryNext(job);
    } else if (answered) {
      callback(outcome.result);
    } else {
      callback(this->RefusalOf(*job, outcome));
    }
  }

  const Clock& time() const { return this->clock; }  // NOLINT

  RetryBudget& budget() { return this->retries; }  // NOLINT

 private:
  void PostOutcome(const JobPtr& job, std::string detail) {
    this->executor.Post(
        [weak = this->weak_from_this(), job, detail = std::move(detail)] {
          if (weak.lock() != nullptr)
            job->on_outcome({SendState::kNothingSent, {}, false, detail});
        });
  }

  Refusal RefusalOf(const Job& job, const SendOutcome& outcome) const {
    RefusalCode code = RefusalCode::kBackendFailed;
    if (outcome.was_stopped || this->clock.Now() >= job.call.deadline) {
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
  RetryBudget retries;
};

ServiceClient::ServiceClient(ServiceClientConfig config,
                             const Clock& clock,
                             const ServiceDirectory& directory,
                             WorkerPool& pool,
                             Executor& executor)
    : state(std::make_shared<State>(config, clock, directory, pool, executor)) {
}

ServiceClient::~ServiceClient() = default;

// on_outcome holds the state by a plain pointer: it runs only while the state
// exists, and a shared pointer would keep both alive for ever.
void ServiceClient::SendOnce(const ServiceCall& call,
                             MaySend may_send,
                             SendCallback callback) {
  JobPtr job = this->state->NewJob(call);
  job->may_send = std::move(may_send);
  job->on_outcome = [self = this->state.get(), weak = std::weak_ptr<Job>(job),
                     callback = std::move(callback)](const SendOutcome& o) {
    self->OnOnceOutcome(weak.lock(), o, callback);
  };
  this->state->TryNext(job);
}

void ServiceClient::SendIdempotent(const ServiceCall& call,
                                   CallCallback callback) {
  JobPtr job = this->state->NewJob(call);
  job->may_send = [&time = this->state->time(), deadline = call.deadline] {
    return time.Now() < deadline;
  };
  job->on_outcome = [self = this->state.get(), weak = std::weak_ptr<Job>(job),
                     callback = std::move(callback)](const SendOutcome& o) {
    self->OnIdempotentOutcome(weak.lock(), o, callback);
  };
  this->state->budget().OnRequest();
  this->state->TryNext(job);
}

}  // namespace cranberryhill
