#include "tests/support/fake_platform.h"

#include <absl/strings/escaping.h>
#include <boost/endian/conversion.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <set>
#include <string_view>
#include <thread>

namespace monsoonsail {

namespace {

using nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusConditionFailed = 412;
constexpr int statusUnavailable = 503;

/// Returns the value of a query parameter, or an empty string if it is missing.
std::string parameter(std::string_view target, const std::string &name)
{
    std::size_t begin = target.find("?" + name + "=");
    if (begin == std::string_view::npos)
        begin = target.find("&" + name + "=");
    if (begin == std::string_view::npos)
        return {};
    begin += name.size() + 2;
    return std::string(target.substr(begin, target.find('&', begin) - begin));
}

std::uint64_t numberParameter(std::string_view target, const std::string &name)
{
    const std::string text = parameter(target, name);
    return text.empty() ? 0 : std::stoull(text);
}

std::string_view targetOf(const HttpTestRequest &request)
{
    return {request.target().data(), request.target().size()};
}

template <typename Number>
std::string bigEndian(Number number)
{
    const Number swapped = boost::endian::native_to_big(number);
    return {reinterpret_cast<const char *>(&swapped), sizeof swapped};
}

bool isKeyedTopic(const std::string &topic)
{
    return topic.starts_with("keyed.");
}

} // namespace

FakePlatform::FakePlatform()
    : m_server([this](RawSocket &socket) { serve(socket); })
{ }

FakePlatform::~FakePlatform()
{
    m_server.stop();
}

void FakePlatform::setHealth(Health health)
{
    m_health = health;
    m_changed.notify_all();
}

void FakePlatform::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    m_topics[topic].push_back({.key = key, .value = value});
    m_changed.notify_all();
}

void FakePlatform::serve(RawSocket &socket)
{
    HttpConnection connection(socket);
    const auto isStopping = [this] { return m_server.isStopping(); };
    while (const auto request = connection.readRequest(isStopping)) {
        if (m_health == Health::Refusing) {
            connection.answer(statusUnavailable, "");
            continue;
        }
        while (m_health == Health::Silent && !isStopping())
            std::this_thread::sleep_for(ThreadedServer::stopPollInterval);
        handle(*request, connection);
    }
}

void FakePlatform::handle(const HttpTestRequest &request, const HttpConnection &connection)
{
    const std::string_view target = targetOf(request);
    if (target.starts_with("/log-append"))
        append(request, connection);
    else if (target.starts_with("/log-read"))
        read(request, connection);
    else if (target.starts_with("/log-newest"))
        readNewest(request, connection);
    else if (target == "/usage" || target == "/scale")
        report(request, connection);
    else
        connection.answer(statusNotFound, "");
}

void FakePlatform::append(const HttpTestRequest &request, const HttpConnection &connection)
{
    const std::string topic = parameter(targetOf(request), "Topic");
    std::string body = request.body();
    const std::lock_guard lock(m_mutex);
    std::vector<Record> &records = m_topics[topic];
    if (!parameter(targetOf(request), "At").empty()
        && numberParameter(targetOf(request), "At") != records.size()) {
        connection.answer(statusConditionFailed, json{{"EndOffset", records.size()}}.dump());
        return;
    }
    const std::size_t first = records.size();
    while (body.size() >= sizeof(std::uint32_t)) {
        const auto size =
                boost::endian::load_big_u32(reinterpret_cast<const unsigned char *>(body.data()));
        const std::string content = body.substr(sizeof(std::uint32_t), size);
        body.erase(0, sizeof(std::uint32_t) + size);
        const std::size_t keySize =
                isKeyedTopic(topic) ? static_cast<unsigned char>(content.at(0)) : 0;
        const std::size_t begin = isKeyedTopic(topic) ? 1 : 0;
        records.push_back(
                {.key = content.substr(begin, keySize), .value = content.substr(begin + keySize)});
    }
    m_changed.notify_all();
    connection.answer(statusOk, json{{"Offset", first}, {"EndOffset", records.size()}}.dump());
}

void FakePlatform::read(const HttpTestRequest &request, const HttpConnection &connection)
{
    const std::string_view target = targetOf(request);
    const std::string topic = parameter(target, "Topic");
    const std::uint64_t source = numberParameter(target, "Source");
    const auto deadline = std::chrono::steady_clock::now()
            + std::chrono::milliseconds(numberParameter(target, "WaitMs"));
    std::unique_lock lock(m_mutex);
    m_changed.wait_until(lock, deadline, [&] {
        return m_topics[topic].size() > source || m_health != Health::Up || m_server.isStopping();
    });
    const std::vector<Record> &records = m_topics[topic];
    std::string body = bigEndian(std::uint64_t(records.size())) + bigEndian(std::uint64_t(0));
    for (std::size_t index = source; index < records.size(); ++index) {
        std::string content = records[index].value;
        if (isKeyedTopic(topic))
            content = static_cast<char>(records[index].key.size()) + records[index].key + content;
        body += bigEndian(static_cast<std::uint32_t>(content.size())) + content;
    }
    lock.unlock();
    if (m_health == Health::Refusing)
        connection.answer(statusUnavailable, "");
    else if (m_health == Health::Up)
        connection.answer(statusOk, body);
}

void FakePlatform::readNewest(const HttpTestRequest &request, const HttpConnection &connection)
{
    const std::lock_guard lock(m_mutex);
    const std::vector<Record> &records = m_topics[parameter(targetOf(request), "Topic")];
    std::map<std::string, json> newest;
    for (std::size_t offset = 0; offset < records.size(); ++offset) {
        const Record &record = records[offset];
        newest[record.key] = {{"Key", record.key},
                              {"Value", absl::Base64Escape(record.value)},
                              {"Offset", offset}};
        if (record.value.empty())
            newest.erase(record.key);
    }
    json items = json::array();
    for (const auto &[key, item] : newest)
        items.push_back(item);
    connection.answer(
            statusOk,
            json{{"Items", items}, {"HasMore", false}, {"EndOffset", records.size()}}.dump());
}

void FakePlatform::report(const HttpTestRequest &request, const HttpConnection &connection)
{
    const std::lock_guard lock(m_mutex);
    const auto field = request.find("X-Fencing-Token");
    const std::uint64_t fencingNumber =
            field == request.end() ? 0 : std::stoull(std::string(field->value()));
    if (fencingNumber < m_fencingNumber) {
        connection.answer(statusConflict, json{{"Reason", "fenced"}}.dump());
        return;
    }
    m_fencingNumber = fencingNumber;
    ++m_acceptedReportCount;
    connection.answer(statusOk, "{}");
}

} // namespace monsoonsail
