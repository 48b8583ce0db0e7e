#ifndef CRANBERRYHILL_BASE_WORKER_POOL_H_
#define CRANBERRYHILL_BASE_WORKER_POOL_H_

// A fixed number of threads for blocking calls, with a bounded queue.
//
//   WorkerPool pool(4, 1000);
//   if (!pool.Submit([=] { ...blocking...; executor.Post(...); }))
//     ...refuse: the queue is full...

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace cranberryhill {

/// Thread-safe. The destructor drops queued jobs and waits for running ones.
class WorkerPool {
 public:
  /// @param threads Number of threads, at least 1.
  /// @param max_queued Jobs that may wait for a thread.
  WorkerPool(size_t threads, size_t max_queued);
  ~WorkerPool();

  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  /// @return False when the queue is full; the job is then dropped.
  bool Submit(std::function<void()> job);

 private:
  void RunJobs();

  const size_t max_queued;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::function<void()>> queue;
  bool stopping = false;
  std::vector<std::thread> threads;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_BASE_WORKER_POOL_H_
