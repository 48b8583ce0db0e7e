#include "cranberryhill/base/worker_pool.h"

#include <utility>

namespace cranberryhill {

WorkerPool::WorkerPool(size_t threads, size_t max_queued)
    : max_queued(max_queued) {
  for (size_t i = 0; i < threads; ++i)
    this->threads.emplace_back([this] { this->RunJobs(); });
}

WorkerPool::~WorkerPool() {
  {
    std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->queue.clear();
  }
  this->changed.notify_all();
  for (std::thread& thread : this->threads)
    thread.join();
}

bool WorkerPool::Submit(std::function<void()> job) {
  {
    std::lock_guard lock(this->mutex);
    if (this->stopping || this->queue.size() >= this->max_queued)
      return false;
    this->queue.push_back(std::move(job));
  }
  this->changed.notify_one();
  return true;
}

void WorkerPool::RunJobs() {
  while (true) {
    std::function<void()> job;
    {
      std::unique_lock lock(this->mutex);
      this->changed.wait(
          lock, [this] { return this->stopping || !this->queue.empty(); });
      if (this->stopping)
        return;
      job = std::move(this->queue.front());
      this->queue.pop_front();
    }
    job();
  }
}

}  // namespace cranberryhill
