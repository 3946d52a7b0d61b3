#include "servers/configuration/table_reader.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace monsoonsail {

namespace {

std::string textOf(const toml::node &node)
{
    std::ostringstream text;
    node.visit([&text](const auto &value) { text << value; });
    return text.str();
}

std::string fileOf(const toml::node &node)
{
    return node.source().path ? *node.source().path : "";
}

} // namespace

TableReader::TableReader(const toml::table &table, std::string path,
                         std::vector<ConfigurationFault> &faults)
    : m_table(table)
    , m_path(std::move(path))
    , m_faults(faults)
{ }

std::string TableReader::string(std::string_view key, std::optional<std::string> fallback)
{
    const toml::node *node = findNode(key);
    if (node != nullptr && node->is_string())
        return node->as_string()->get();
    if (node != nullptr)
        addValueFault(key, *node, "a string");
    else if (!fallback)
        addMissingFault(key, "a string");
    return fallback.value_or("");
}

std::int64_t TableReader::integer(std::string_view key, std::int64_t min, std::int64_t max,
                                  std::optional<std::int64_t> fallback)
{
    const std::string allowed =
            "an integer from " + std::to_string(min) + " to " + std::to_string(max);
    const toml::node *node = findNode(key);
    if (node != nullptr && node->is_integer()) {
        const std::int64_t value = node->as_integer()->get();
        if (value >= min && value <= max)
            return value;
    }
    if (node != nullptr)
        addValueFault(key, *node, allowed);
    else if (!fallback)
        addMissingFault(key, allowed);
    return fallback.value_or(min);
}

double TableReader::number(std::string_view key, double min, double max,
                           std::optional<double> fallback)
{
    std::ostringstream allowed;
    allowed << "a number from " << min << " to " << max;
    const toml::node *node = findNode(key);
    if (node != nullptr && node->is_number()) {
        const double value = *node->value<double>();
        if (value >= min && value <= max)
            return value;
    }
    if (node != nullptr)
        addValueFault(key, *node, allowed.str());
    else if (!fallback)
        addMissingFault(key, allowed.str());
    return fallback.value_or(min);
}

bool TableReader::boolean(std::string_view key, std::optional<bool> fallback)
{
    const toml::node *node = findNode(key);
    if (node != nullptr && node->is_boolean())
        return node->as_boolean()->get();
    if (node != nullptr)
        addValueFault(key, *node, "true or false");
    else if (!fallback)
        addMissingFault(key, "true or false");
    return fallback.value_or(false);
}

std::string TableReader::choice(std::string_view key, std::span<const std::string_view> allowed,
                                std::optional<std::string> fallback)
{
    std::string names;
    for (const std::string_view name : allowed)
        names += (names.empty() ? "" : " or ") + std::string(name);
    const toml::node *node = findNode(key);
    if (node != nullptr && node->is_string()) {
        const std::string value = node->as_string()->get();
        if (std::find(allowed.begin(), allowed.end(), value) != allowed.end())
            return value;
    }
    if (node != nullptr)
        addValueFault(key, *node, names);
    else if (!fallback)
        addMissingFault(key, names);
    return fallback.value_or(std::string(allowed.front()));
}

void TableReader::forEachTable(std::string_view key,
                               const std::function<void(const std::string &, TableReader &)> &read)
{
    const toml::node *node = findNode(key);
    if (node == nullptr)
        return;
    if (!node->is_table()) {
        addValueFault(key, *node, "a table of tables");
        return;
    }
    for (auto &&[name, value] : *node->as_table()) {
        const std::string child = pathOf(key) + "." + std::string(name.str());
        if (!value.is_table()) {
            m_faults.push_back({.file = fileOf(value),
                                .line = value.source().begin.line,
                                .key = child,
                                .found = textOf(value),
                                .allowed = "a table"});
            continue;
        }
        TableReader reader(*value.as_table(), child, m_faults);
        read(std::string(name.str()), reader);
        reader.reportUnknownKeys();
    }
}

void TableReader::forEachElement(std::string_view key,
                                 const std::function<void(TableReader &)> &read)
{
    const toml::node *node = findNode(key);
    if (node == nullptr)
        return;
    if (!node->is_array_of_tables()) {
        addValueFault(key, *node, "an array of tables");
        return;
    }
    std::size_t index = 0;
    for (const toml::node &element : *node->as_array()) {
        const std::string child = pathOf(key) + "[" + std::to_string(index++) + "]";
        TableReader reader(*element.as_table(), child, m_faults);
        read(reader);
        reader.reportUnknownKeys();
    }
}

void TableReader::readOptionalTable(std::string_view key,
                                    const std::function<void(TableReader &)> &read)
{
    const toml::node *node = findNode(key);
    if (node == nullptr)
        return;
    if (!node->is_table()) {
        addValueFault(key, *node, "a table");
        return;
    }
    TableReader reader(*node->as_table(), pathOf(key), m_faults);
    read(reader);
    reader.reportUnknownKeys();
}

void TableReader::addFault(std::string_view key, std::string found, std::string allowed)
{
    const toml::node *node = m_table.get(key);
    const toml::node &place = node == nullptr ? static_cast<const toml::node &>(m_table) : *node;
    m_faults.push_back({.file = fileOf(place),
                        .line = place.source().begin.line,
                        .key = pathOf(key),
                        .found = std::move(found),
                        .allowed = std::move(allowed)});
}

void TableReader::reportUnknownKeys()
{
    std::string allowed = "only these keys:";
    for (const std::string &key : m_readKeys)
        allowed += " " + key;
    for (auto &&[key, node] : m_table) {
        if (m_readKeys.contains(key.str()))
            continue;
        // Report the position of the value, since it may come from an overlay although the key also
        // occurs in the base.
        m_faults.push_back({.file = fileOf(node),
                            .line = node.source().begin.line,
                            .key = pathOf(key.str()),
                            .found = "an unknown key",
                            .allowed = allowed});
    }
}

const toml::node *TableReader::findNode(std::string_view key)
{
    m_readKeys.emplace(key);
    return m_table.get(key);
}

void TableReader::addMissingFault(std::string_view key, std::string_view allowed)
{
    addFault(key, "no value", std::string(allowed));
}

void TableReader::addValueFault(std::string_view key, const toml::node &node,
                                std::string_view allowed)
{
    addFault(key, textOf(node), std::string(allowed));
}

std::string TableReader::pathOf(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
}

} // namespace monsoonsail
