// Client side of the loop: requests sent to other processes.
#pragma once

#include "banyanrill/http/Loop.h"

#include <cstdint>
#include <libwebsockets.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace banyanrill::http {

/// Runs calls and reports exactly one result for each. Loop thread only.
class CallTable {
public:
  CallTable(lws_context *context, const lws_protocols *protocols, const LoopOptions &options,
            const LoopHandlers &handlers);

  ~CallTable();

  void start(CallId id, Call call);
  void cancel(CallId id);

  /// Ends all calls; no call may be started after it.
  void stop();

  /// Handles one callback of a connection. Nonzero: libwebsockets closes the connection.
  int onEvent(lws *wsi, lws_callback_reasons reason, void *input, std::size_t length);

private:
  struct PendingCall;

  lws_vhost *vhostFor(const Call &call);
  bool connect(PendingCall &pending, lws_vhost *vhost);
  void finish(PendingCall &pending, bool complete, std::string failure);
  void abandon(PendingCall &pending, std::string failure);
  int appendHead(PendingCall &pending, unsigned char **position, std::size_t space);
  int writeBody(PendingCall &pending);
  int onResponseHead(PendingCall &pending);
  int onResponseData(PendingCall &pending, const char *data, std::size_t length);
  int onResponseEnd(PendingCall &pending);
  static void onDeadline(lws_sorted_usec_list_t *timer);

  lws_context *context;
  const lws_protocols *protocols;
  const LoopOptions &options;
  const LoopHandlers &handlers;
  std::unordered_map<CallId, std::unique_ptr<PendingCall>> calls;
  std::map<std::string, lws_vhost *> vhosts; ///< By authority file; empty: plain or system's.
};

} // namespace banyanrill::http
