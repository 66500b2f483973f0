// Client side of the loop: requests sent to other processes.
#pragma once

#include "DeadlineQueue.h"
#include "banyanrill/http/Loop.h"

#include <cstdint>
#include <deque>
#include <libwebsockets.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace banyanrill::http {

/// Runs calls and reports exactly one result for each. Loop thread only.
///
/// Connections are reused through lanes. libwebsockets would queue a call behind any connection to
/// the same address, also behind a long poll, but looks only at connections of the same virtual
/// host. A lane is a virtual host that carries at most one call to an address at a time, so a call
/// finds an idle connection or opens one and never waits for another call.
class CallTable {
public:
  CallTable(lws_context *context, const lws_protocols *protocols, const LoopOptions &options,
            const LoopHandlers &handlers);

  ~CallTable();

  void start(CallId id, Call call);
  void cancel(CallId id);

  /// Calls started after it end at once, as not run.
  void refuse() { this->refusing = true; }

  /// Ends all calls, and refuses later ones.
  void stop();

  /// Handles one callback of a connection. Nonzero: libwebsockets closes the connection.
  int onEvent(lws *wsi, lws_callback_reasons reason, void *input, std::size_t length);

private:
  struct PendingCall;

  using LaneKey = std::pair<std::string, std::size_t>;

  static std::string tlsKey(const Call &call);
  lws_vhost *vhostFor(const Call &call, std::size_t lane);
  std::size_t takeLane(const std::string &address, std::size_t lanes);
  void onDestroyed(lws *wsi);
  void connect(PendingCall &pending, lws_vhost *vhost);
  void finish(PendingCall &pending, bool complete, std::string failure);
  void abandon(PendingCall &pending, std::string failure);
  int appendHead(PendingCall &pending, unsigned char **position, std::size_t space);
  int writeBody(PendingCall &pending);
  int onResponseHead(PendingCall &pending);
  int onResponseData(PendingCall &pending, const char *data, std::size_t length);
  int onResponseEnd(PendingCall &pending);
  int readResponse(PendingCall &pending);
  int endResponse(PendingCall &pending, bool complete);
  void scheduleTimer(PendingCall &pending);
  void onTimer(CallId id);

  lws_context *context;
  const lws_protocols *protocols;
  const LoopOptions &options;
  const LoopHandlers &handlers;
  std::unordered_map<CallId, std::unique_ptr<PendingCall>> calls;
  bool refusing = false;
  DeadlineQueue deadlines;               ///< By call.
  std::map<LaneKey, lws_vhost *> vhosts; ///< By TLS authority and lane.
  /// libwebsockets keeps pointers to the names of its virtual hosts; a deque does not move them.
  std::deque<std::string> vhostNames;
  std::set<std::string> authorities; ///< Values of `tlsKey` in use.
  std::set<LaneKey> busyLanes;       ///< By address and lane.
  /// Lanes of ended calls whose connections libwebsockets has not yet closed. A call started in
  /// such a lane would be queued behind the connection and fail with it.
  std::unordered_map<lws *, LaneKey> closingLanes;
};

} // namespace banyanrill::http
