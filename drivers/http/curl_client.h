#pragma once

#include "drivers/http/http_call.h"
#include "drivers/loop/event_loop.h"

#include <curl/curl.h>

#include <memory>
#include <string>
#include <unordered_map>

namespace monsoonsail {

class HttpTransfer;

/// Makes HTTP calls with libcurl on an event loop. Must be used on the thread of the loop.
class CurlClient
{
public:
    /// `loop` must outlive the client. Throws std::runtime_error if libcurl can't be set up.
    explicit CurlClient(EventLoop &loop);
    /// Ends all calls without calling their onDone.
    ~CurlClient();
    CurlClient(const CurlClient &) = delete;
    CurlClient &operator=(const CurlClient &) = delete;

    /// Starts a call. Its onDone is called once, after this function has returned, unless the
    /// client is destroyed first.
    void start(HttpCall call);

private:
    class SocketHandler;
    struct ActiveTransfer
    {
        std::unique_ptr<HttpTransfer> transfer;
        TimerQueue::Handle timer;
    };

    static int onSocket(CURL *handle, curl_socket_t socket, int what, void *client,
                        void *socketData);
    static int onTimer(CURLM *multi, long timeoutMs, void *client);
    void updateInterest(curl_socket_t socket, int what);
    void performSocketAction(curl_socket_t socket, int events);
    void timeOut(CURL *handle);
    void finish(CURL *handle, CURLcode code, const std::string &error);

    EventLoop &m_loop;
    CURLM *m_multi;
    std::unordered_map<curl_socket_t, std::unique_ptr<SocketHandler>> m_sockets;
    std::unordered_map<CURL *, ActiveTransfer> m_transfers;
    TimerQueue::Handle m_timer;
};

} // namespace monsoonsail
