// Server side of the loop: exchanges with callers.
#pragma once

#include "ChunkedDecoder.h"
#include "DeadlineQueue.h"
#include "ReceiveBudget.h"
#include "banyanrill/http/Loop.h"

#include <atomic>
#include <libwebsockets.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace banyanrill::http {

/// Turns events of libwebsockets into requests, and responses into writes. Loop thread only, except
/// `openExchanges`.
class Server {
public:
  Server(lws_context *context, const LoopOptions &options, const LoopHandlers &handlers);

  /// Only connections of these virtual hosts are callers; their requests carry the number. Larger
  /// bodies get 413.
  void addListener(lws_vhost *vhost, std::uint16_t number, std::size_t maxBodyBytes,
                   ReceiveLimits receive);

  /// Handles one callback of a connection. Nonzero: libwebsockets closes the connection.
  int onEvent(lws *wsi, lws_callback_reasons reason, void *input, std::size_t length);

  void respond(ExchangeId exchange, Response response);
  /// Holds the answer that will be passed to `respond` in the budget. Returns it, or what must be
  /// sent in its place if it does not fit.
  Response admitAnswer(ExchangeId exchange, Response response);
  void abort(ExchangeId exchange);
  void closeAfterAnswers() { this->closing = true; }
  void drain();

  /// After this no handler is called.
  void stop();

  std::size_t openExchanges() const { return this->openCount.load(); }

  /// By number of the listener.
  std::vector<ReceiveUsage> receiveUsage() const;

private:
  enum class BodyKind {
    Length,   ///< Content-Length, or none.
    Chunked,  ///< libwebsockets passes the encoded bytes on.
    Discarded ///< The request has been answered already.
  };

  struct ListenerEntry {
    std::uint16_t number = 0;
    std::size_t maxBodyBytes = 0;
  };

  /// What the limits of one listener led to, and when that was logged last.
  struct LimitRecord {
    ReceiveUsage counted;
    ReceiveUsage logged;
    base::TimePoint nextLog = base::TimePoint::min();
    int port = 0;
  };

  struct Connection {
    std::uint64_t number = 0; ///< Key in `deadlines`.
    lws *wsi = nullptr;
    ExchangeId exchange = 0; ///< 0: none is open.
    Request request;
    BodyKind bodyKind = BodyKind::Length;
    ChunkedDecoder decoder;
    std::uint16_t listener = 0;
    std::size_t maxBodyBytes = 0; ///< Of its listener.
    std::size_t headBytes = 0;    ///< Of the request.
    std::size_t bodyCapacity = 0; ///< Reserved for the body, and held in the budget.
    std::size_t discardedBytes = 0;
    bool ending = false;          ///< Closed with the next round of timers; nothing of it is used.
    std::uint64_t bodyLength = 0; ///< Bytes still to be received from the connection.
    bool receiving = true;        ///< Head or body is not complete.
    bool closeAfterResponse = false;
    std::optional<Response> response;
    bool answerAdmitted = false; ///< The answer is held in the budget.
    bool headWritten = false;
    std::size_t bodyWritten = 0;
    bool lingering = false; ///< Answered early; waits for the caller to close.
  };

  Connection &connectionOf(lws *wsi);
  int onHead(Connection &connection);
  int onBody(Connection &connection, std::string_view input);
  int onBodyComplete(Connection &connection);
  int onWritable(Connection &connection);
  int onRawWritable(Connection &connection);
  int onResponseWritten(Connection &connection);
  void onDeadline(std::uint64_t number);
  void findDisconnected();
  void onClosed(lws *wsi);
  void deliver(Connection &connection);
  void refuse(Connection &connection, int status, std::string_view code, std::string_view message);
  void send(Connection &connection, Response response);
  void closeExchange(Connection &connection);

  // The receive budget.
  /// Drops other connections until what is asked for is taken. False: it is refused.
  template <typename Ask> bool makeRoom(Ask ask);
  bool admit(Connection &connection);
  bool hold(Connection &connection, ReceiveBudget::Phase phase, std::size_t bytes);
  /// Enlarges the buffer of the body for `more` bytes. False: the request was refused.
  bool growBody(Connection &connection, std::size_t more);
  /// Refuses its request, or closes it at once if there is none. Precondition: this is the event of
  /// another connection.
  void drop(Connection &connection);
  void refuseForBudget(Connection &connection);
  /// Returns the answer, or what is sent in its place if it does not fit.
  Response chargeAnswer(Connection &connection, Response response);
  void logLimits(std::uint16_t listener);
  void scheduleTrim();
  void trim();
  std::string composeHead(const Connection &connection) const;

  const LoopOptions &options;
  const LoopHandlers &handlers;
  std::unordered_map<lws_vhost *, ListenerEntry> listeners;
  std::unordered_map<lws *, std::unique_ptr<Connection>> connections;
  std::unordered_map<std::uint64_t, Connection *> byNumber;
  std::unordered_map<ExchangeId, Connection *> exchanges;
  ReceiveBudget budget;
  std::map<std::uint16_t, LimitRecord> limitRecords; ///< By number of the listener.
  std::size_t peakBytes = 0;                         ///< Held at once, since the last trim.
  bool trimScheduled = false;
  DeadlineQueue deadlines; ///< By number of the connection, and the keys of other tasks.
  std::uint64_t lastConnection = 0;
  std::atomic<std::size_t> openCount = 0;
  ExchangeId lastExchange = 0;
  bool closing = false; ///< Connections end with their next answer.
  bool draining = false;
  bool stopped = false;
};

} // namespace banyanrill::http
