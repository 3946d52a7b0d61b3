#pragma once

#include "drivers/logging/log_writer.h"

#include <glog/logging.h>

#include <string>

namespace monsoonsail {

/// Writes each message of glog as one line with a JSON object.
class JsonLogSink : public google::LogSink
{
public:
    /// Initializes glog without log files. `instance` is part of every line. `writer` must outlive
    /// the sink.
    JsonLogSink(const char *program, std::string instance, LogWriter &writer);
    ~JsonLogSink() override;
    JsonLogSink(const JsonLogSink &) = delete;
    JsonLogSink &operator=(const JsonLogSink &) = delete;

    void send(google::LogSeverity severity, const char *fullFilename, const char *baseFilename,
              int line, const google::LogMessageTime &time, const char *message,
              std::size_t length) override;

private:
    const std::string m_instance;
    LogWriter &m_writer;
};

} // namespace monsoonsail
