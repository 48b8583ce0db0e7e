#ifndef CRANBERRYHILL_PLATFORM_HTTP_PLATFORM_H_
#define CRANBERRYHILL_PLATFORM_HTTP_PLATFORM_H_

// HTTP/1.1 clients of the platform's table service, object store and instance
// list. Blocking calls run on a WorkerPool; results are posted to the core
// thread through an Executor.
//
//   WorkerPool pool(4, 1000);
//   HttpTableService table({"127.0.0.1", 7000}, pool, executor);
//   table.Read({"env/annex/production"}, [](const ReadOutcome& rows) {});

#include <memory>
#include <string>

#include "absl/time/time.h"
#include "cranberryhill/base/endpoint.h"
#include "cranberryhill/base/executor.h"
#include "cranberryhill/base/worker_pool.h"
#include "cranberryhill/platform/instance_list.h"
#include "cranberryhill/table/object_store.h"
#include "cranberryhill/table/table_service.h"

namespace cranberryhill {

class HttpCaller;

/// Each limit includes the wait for a worker thread.
struct HttpPlatformOptions {
  absl::Duration read_timeout = absl::Seconds(1);
  absl::Duration write_timeout = absl::Seconds(2);
};

/// Calls come from the core thread, which runs the callbacks during the call
/// (refused arguments) or after it, exactly once unless the pool or the
/// executor is stopped first. The pool and the executor must outlive this
/// object; the executor must outlive the pool.
class HttpTableService : public TableService {
 public:
  HttpTableService(const Endpoint& endpoint,
                   WorkerPool& pool,
                   Executor& executor,
                   const HttpPlatformOptions& options = {});
  ~HttpTableService() override;

  void Read(std::vector<std::string> keys, ReadCallback callback) override;
  void Scan(std::string prefix,
            std::string after,
            size_t limit,
            ReadCallback callback) override;

  /// Answers kUnavailable only when nothing was sent and nothing will be; this
  /// includes text that is not UTF-8.
  void Commit(Transaction transaction, CommitCallback callback) override;

 private:
  const HttpPlatformOptions options;
  std::unique_ptr<HttpCaller> caller;
};

/// As HttpTableService.
class HttpObjectStore : public ObjectStore {
 public:
  HttpObjectStore(const Endpoint& endpoint,
                  WorkerPool& pool,
                  Executor& executor,
                  const HttpPlatformOptions& options = {});
  ~HttpObjectStore() override;

  void Put(std::string name,
           std::string content,
           PutObjectCallback callback) override;
  void Get(std::string name, GetObjectCallback callback) override;

 private:
  const HttpPlatformOptions options;
  std::unique_ptr<HttpCaller> caller;
};

/// As HttpTableService.
class HttpInstanceList : public InstanceList {
 public:
  HttpInstanceList(const Endpoint& endpoint,
                   WorkerPool& pool,
                   Executor& executor,
                   const HttpPlatformOptions& options = {});
  ~HttpInstanceList() override;

  void Poll(uint64_t since, InstanceListCallback callback) override;

 private:
  const HttpPlatformOptions options;
  std::unique_ptr<HttpCaller> caller;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_PLATFORM_HTTP_PLATFORM_H_
