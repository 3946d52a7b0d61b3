#include "drivers/logging/json_log_sink.h"

#include "core/json_text.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace monsoonsail {

JsonLogSink::JsonLogSink(const char *program, std::string instance, LogWriter &writer)
    : m_instance(std::move(instance))
    , m_writer(writer)
{
    // Instances have no disk, so glog must not open log files.
    FLAGS_stderrthreshold = google::FATAL;
    for (int severity = google::INFO; severity < google::NUM_SEVERITIES; ++severity)
        google::SetLogDestination(severity, "");
    google::InitGoogleLogging(program);
    google::AddLogSink(this);
}

JsonLogSink::~JsonLogSink()
{
    google::RemoveLogSink(this);
    google::ShutdownGoogleLogging();
}

void JsonLogSink::send(google::LogSeverity severity, const char * /*fullFilename*/,
                       const char *baseFilename, int line, const google::LogMessageTime &time,
                       const char *message, std::size_t length)
{
    nlohmann::ordered_json object;
    object["time"] = static_cast<double>(time.timestamp()) + time.usec() * 1e-6;
    object["level"] = google::GetLogSeverityName(severity);
    object["instance"] = m_instance;
    object["event"] = "message";
    object["source"] = std::string(baseFilename) + ":" + std::to_string(line);
    object["message"] = std::string(message, length);
    m_writer.add(toJsonText(object));
}

} // namespace monsoonsail
