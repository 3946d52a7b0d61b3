#include "servers/configuration/toml_document.h"

#include <utility>

namespace monsoonsail {

toml::table parseToml(std::string_view text, const std::string &file,
                      std::vector<ConfigurationFault> &faults)
{
    try {
        return toml::parse(text, file);
    } catch (const toml::parse_error &error) {
        faults.push_back({.file = file,
                          .line = error.source().begin.line,
                          .key = "",
                          .found = std::string(error.description()),
                          .allowed = "a TOML document"});
    }
    return {};
}

void mergeOverlay(toml::table &base, toml::table &&overlay)
{
    for (auto &&[key, node] : overlay) {
        toml::node *present = base.get(key);
        if (present != nullptr && present->is_table() && node.is_table()) {
            mergeOverlay(*present->as_table(), std::move(*node.as_table()));
            continue;
        }
        // Only a moved node keeps its source position; a copied one loses it.
        node.visit([&base, &name = key](auto &value) {
            base.insert_or_assign(name, std::move(value));
        });
    }
}

} // namespace monsoonsail
