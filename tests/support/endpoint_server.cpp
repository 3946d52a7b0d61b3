#include "tests/support/endpoint_server.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <string_view>
#include <utility>

namespace monsoonsail {

namespace http = boost::beast::http;

namespace {

using Clock = std::chrono::steady_clock;

/// Time for which a request runs.
constexpr std::chrono::milliseconds workTime{8};
constexpr int pollTimeoutMs = 4;
constexpr std::size_t maxEvents = 64;

constexpr std::string_view notFound = "HTTP/1.1 404 Answer\r\nContent-Length: 0\r\n\r\n";
constexpr std::string_view misdirected = "HTTP/1.1 421 Answer\r\nContent-Length: 0\r\n\r\n";
constexpr std::string_view up = "HTTP/1.1 200 Answer\r\nContent-Length: 2\r\n\r\nup";
constexpr std::string_view streamOfTwoEvents =
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        "11\r\nid: 1\ndata: one\n\n\r\n"
        "11\r\nid: 2\ndata: two\n\n\r\n"
        "0\r\n\r\n";

std::string field(const HttpTestRequest &request, const char *name)
{
    const auto entry = request.find(name);
    return entry == request.end() ? std::string() : std::string(entry->value());
}

/// Removes a request from the received bytes. Returns std::nullopt while it is incomplete.
std::optional<HttpTestRequest> takeRequest(std::string &buffered)
{
    http::request_parser<http::string_body> parser;
    parser.eager(true);
    std::size_t used = 0;
    while (!parser.is_done()) {
        boost::beast::error_code error;
        const std::size_t size = parser.put(
                boost::asio::buffer(buffered.data() + used, buffered.size() - used), error);
        used += size;
        if (error || size == 0)
            return std::nullopt;
    }
    buffered.erase(0, used);
    return parser.release();
}

} // namespace

EndpointServer::EndpointServer()
    : m_poll(::epoll_create1(EPOLL_CLOEXEC))
    , m_thread([this](const std::stop_token &stop) {
        while (!stop.stop_requested())
            run();
    })
{ }

EndpointServer::~EndpointServer()
{
    m_thread.request_stop();
    m_thread.join();
    ::close(m_poll);
}

std::string EndpointServer::add(const std::string &instance)
{
    auto listener = std::make_unique<RawListener>();
    std::string address = listener->address();
    const int descriptor = listener->descriptor();
    const std::lock_guard lock(m_mutex);
    m_listeners.emplace(descriptor,
                        Listener{.instance = instance, .listener = std::move(listener)});
    watch(descriptor);
    return address;
}

std::vector<EndpointServer::Arrival> EndpointServer::arrivals() const
{
    const std::lock_guard lock(m_mutex);
    return m_arrivals;
}

void EndpointServer::watch(int descriptor) const
{
    epoll_event event{.events = EPOLLIN, .data = {.fd = descriptor}};
    ::epoll_ctl(m_poll, EPOLL_CTL_ADD, descriptor, &event);
}

void EndpointServer::run()
{
    std::array<epoll_event, maxEvents> events{};
    const int count = ::epoll_wait(m_poll, events.data(), maxEvents, pollTimeoutMs);
    for (int index = 0; index < count; ++index) {
        const int descriptor = events.at(static_cast<std::size_t>(index)).data.fd;
        std::unique_lock lock(m_mutex);
        const auto listener = m_listeners.find(descriptor);
        if (listener != m_listeners.end()) {
            accept(listener->second);
            continue;
        }
        lock.unlock();
        receive(descriptor);
    }
    sendDueAnswers();
}

void EndpointServer::accept(const Listener &listener)
{
    RawSocket socket = listener.listener->accept({});
    if (!socket.isOpen())
        return;
    const int descriptor = socket.descriptor();
    m_connections.insert_or_assign(
            descriptor, Connection{.instance = listener.instance, .socket = std::move(socket)});
    watch(descriptor);
}

void EndpointServer::receive(int descriptor)
{
    const auto entry = m_connections.find(descriptor);
    if (entry == m_connections.end())
        return;
    Connection &connection = entry->second;
    const auto bytes = connection.socket.receiveSome({});
    if (!bytes) {
        // Its answers must not go to a later connection with the same descriptor.
        std::erase_if(m_answers, [descriptor](const auto &answer) {
            return answer.second.descriptor == descriptor;
        });
        m_connections.erase(entry);
        return;
    }
    connection.buffered += *bytes;
    while (const auto request = takeRequest(connection.buffered))
        handle(*request, descriptor, connection);
}

void EndpointServer::handle(const HttpTestRequest &request, int descriptor,
                            const Connection &connection)
{
    const std::string_view target(request.target().data(), request.target().size());
    const bool isStream = target.starts_with("/review/");
    if (target == "/up") {
        connection.socket.send(up);
        return;
    }
    if (!isStream && !target.starts_with("/look/") && !target.starts_with("/book/")) {
        connection.socket.send(notFound);
        return;
    }
    if (field(request, "X-Target-Instance") != connection.instance) {
        connection.socket.send(misdirected);
        return;
    }
    const std::string id = field(request, "X-Attempt-Id");
    const auto now = Clock::now();
    std::string text = "HTTP/1.1 200 Answer\r\nX-Attempt-Id: " + id + "\r\n";
    if (isStream)
        text += streamOfTwoEvents;
    else
        text += "Content-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id;
    m_answers.emplace(now + workTime, Answer{.descriptor = descriptor, .text = std::move(text)});
    const std::lock_guard lock(m_mutex);
    m_arrivals.push_back({.request = id, .instance = connection.instance, .at = now});
}

void EndpointServer::sendDueAnswers()
{
    const auto due = m_answers.upper_bound(Clock::now());
    for (auto answer = m_answers.begin(); answer != due; ++answer) {
        const auto entry = m_connections.find(answer->second.descriptor);
        if (entry != m_connections.end())
            entry->second.socket.send(answer->second.text);
    }
    m_answers.erase(m_answers.begin(), due);
}

} // namespace monsoonsail
