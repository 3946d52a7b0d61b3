#pragma once

#include "servers/configuration/configuration_fault.h"

#include <toml++/toml.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonsail {

/// Reads the values of one TOML table and reports those that the schema does not allow.
class TableReader
{
public:
    /// `path` is the dotted path of the table. All references must outlive the reader.
    TableReader(const toml::table &table, std::string path,
                std::vector<ConfigurationFault> &faults);

    /// Returns the value. A missing key is a fault unless there is a `fallback`.
    std::string string(std::string_view key, std::optional<std::string> fallback = std::nullopt);
    std::int64_t integer(std::string_view key, std::int64_t min, std::int64_t max,
                         std::optional<std::int64_t> fallback = std::nullopt);
    double number(std::string_view key, double min, double max,
                  std::optional<double> fallback = std::nullopt);
    bool boolean(std::string_view key, std::optional<bool> fallback = std::nullopt);
    /// Returns one of `allowed`.
    std::string choice(std::string_view key, std::span<const std::string_view> allowed,
                       std::optional<std::string> fallback = std::nullopt);

    /// Calls `read` with the name and a reader of each table inside the table `key`.
    void forEachTable(std::string_view key,
                      const std::function<void(const std::string &, TableReader &)> &read);
    /// Calls `read` with a reader of each element of the array of tables `key`.
    void forEachElement(std::string_view key, const std::function<void(TableReader &)> &read);
    /// Calls `read` with a reader of the table `key` if it exists.
    void readOptionalTable(std::string_view key, const std::function<void(TableReader &)> &read);

    /// Reports a fault at `key` for a rule that spans more than one value.
    void addFault(std::string_view key, std::string found, std::string allowed);
    /// Reports every key that was not read. Must be called once, after all reads.
    void reportUnknownKeys();

private:
    const toml::node *findNode(std::string_view key);
    void addMissingFault(std::string_view key, std::string_view allowed);
    void addValueFault(std::string_view key, const toml::node &node, std::string_view allowed);
    std::string pathOf(std::string_view key) const;

    const toml::table &m_table;
    std::string m_path;
    std::vector<ConfigurationFault> &m_faults;
    std::set<std::string, std::less<>> m_readKeys;
};

} // namespace monsoonsail
