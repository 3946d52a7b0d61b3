#include "drivers/http/curl_client.h"

#include "drivers/http/http_transfer.h"

#include <mutex>
#include <stdexcept>
#include <utility>

namespace monsoonsail {

namespace {

/// Enough for the few addresses that an instance calls.
constexpr long maxIdleConnections = 16;

void initializeCurl()
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

} // namespace

/// Notifies libcurl when one of its sockets is ready.
class CurlClient::SocketHandler : public DescriptorHandler
{
public:
    SocketHandler(CurlClient &client, curl_socket_t socket)
        : m_client(client)
        , m_socket(socket)
    { }

    void onReady(DescriptorState state) override
    {
        int events = 0;
        if (state.readable)
            events |= CURL_CSELECT_IN;
        if (state.writable)
            events |= CURL_CSELECT_OUT;
        if (state.hangup)
            events |= CURL_CSELECT_IN | CURL_CSELECT_ERR;
        m_client.performSocketAction(m_socket, events);
    }

private:
    CurlClient &m_client;
    const curl_socket_t m_socket;
};

CurlClient::CurlClient(EventLoop &loop)
    : m_loop(loop)
{
    initializeCurl();
    m_multi = curl_multi_init();
    if (m_multi == nullptr)
        throw std::runtime_error("cannot set up libcurl");
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &CurlClient::onSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &CurlClient::onTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, maxIdleConnections);
}

CurlClient::~CurlClient()
{
    for (auto &[handle, entry] : m_transfers) {
        curl_multi_remove_handle(m_multi, handle);
        m_loop.timers().cancel(entry.timer);
    }
    m_transfers.clear();
    curl_multi_cleanup(m_multi);
    m_loop.timers().cancel(m_timer);
    for (const auto &[socket, handler] : m_sockets)
        m_loop.remove(socket);
}

void CurlClient::start(HttpCall call)
{
    auto transfer = std::make_unique<HttpTransfer>(std::move(call), m_loop.clock());
    CURL *handle = transfer->handle();
    ActiveTransfer &entry = m_transfers[handle];
    entry.timer =
            m_loop.timers().schedule(transfer->expiresAt(), [this, handle] { timeOut(handle); });
    entry.transfer = std::move(transfer);
    curl_multi_add_handle(m_multi, handle);
}

int CurlClient::onSocket(CURL * /*handle*/, curl_socket_t socket, int what, void *client,
                         void * /*socketData*/)
{
    static_cast<CurlClient *>(client)->updateInterest(socket, what);
    return 0;
}

int CurlClient::onTimer(CURLM * /*multi*/, long timeoutMs, void *client)
{
    auto *self = static_cast<CurlClient *>(client);
    TimerQueue &timers = self->m_loop.timers();
    timers.cancel(self->m_timer);
    if (timeoutMs >= 0) {
        self->m_timer =
                timers.schedule(self->m_loop.now() + std::chrono::milliseconds(timeoutMs),
                                [self] { self->performSocketAction(CURL_SOCKET_TIMEOUT, 0); });
    }
    return 0;
}

void CurlClient::updateInterest(curl_socket_t socket, int what)
{
    const auto entry = m_sockets.find(socket);
    if (what == CURL_POLL_REMOVE) {
        if (entry != m_sockets.end()) {
            m_loop.remove(socket);
            m_sockets.erase(entry);
        }
        return;
    }
    const auto interest =
            what == CURL_POLL_IN ? EventLoop::Interest::Read : EventLoop::Interest::ReadWrite;
    if (entry != m_sockets.end()) {
        m_loop.change(socket, interest);
        return;
    }
    auto handler = std::make_unique<SocketHandler>(*this, socket);
    m_loop.add(socket, *handler, interest);
    m_sockets[socket] = std::move(handler);
}

void CurlClient::performSocketAction(curl_socket_t socket, int events)
{
    int running = 0;
    curl_multi_socket_action(m_multi, socket, events, &running);
    int left = 0;
    while (const CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg == CURLMSG_DONE)
            finish(message->easy_handle, message->data.result, {});
    }
}

void CurlClient::timeOut(CURL *handle)
{
    finish(handle, CURLE_OPERATION_TIMEDOUT, "response timeout");
}

void CurlClient::finish(CURL *handle, CURLcode code, const std::string &error)
{
    const auto entry = m_transfers.find(handle);
    if (entry == m_transfers.end())
        return;
    ActiveTransfer finished = std::move(entry->second);
    m_transfers.erase(entry);
    m_loop.timers().cancel(finished.timer);
    curl_multi_remove_handle(m_multi, handle);
    finished.transfer->complete(code, error);
}

} // namespace monsoonsail
