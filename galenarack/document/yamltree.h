#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Galenarack {

/// Node of a parsed YAML text. It is used instead of YAML::Node because it is smaller and faster to build; the target document has
/// 120,000 values.
struct YamlNode
{
    /// Type of the node's content.
    enum class Kind : std::uint8_t {
        Null,
        Scalar,
        Sequence,
        Map,
    };

    Kind kind = Kind::Null;
    unsigned line = 0; ///< Line in the text, from 1.
    std::string scalar; ///< Text of a scalar; empty for other kinds.
    std::vector<YamlNode> children; ///< Items of a sequence; alternating keys and values of a map.

    /// @return the text of a scalar, or a description such as "a list"
    std::string text() const;
};

/// Result of parseYaml(): the tree, or the first syntax error.
struct YamlResult
{
    YamlNode root;
    std::string error; ///< Description of the error; empty when the text is well-formed.
    unsigned errorLine = 0; ///< Line of the error, from 1.
};

/// Parses one YAML document with the event interface of yaml-cpp. Aliases and a second document are errors.
YamlResult parseYaml(std::string_view text);

} // namespace Galenarack
