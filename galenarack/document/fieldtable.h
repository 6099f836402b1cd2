#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Galenarack {

/// Kind of the rows in a section's list.
enum class SectionKind : std::uint8_t {
    Services,
    Upstreams,
    Routes,
    Accounts,
    Timings,
};

/// @return the name of the list in a section, e.g. "services"
std::string_view sectionKindName(SectionKind kind);

/// @return the kind whose list has this name, or nothing
std::optional<SectionKind> sectionKindFromName(std::string_view name);

/// Type of a field's value.
enum class FieldType : std::uint8_t {
    Name, ///< 1 to 63 letters, digits, '-', '_' or '.'.
    VmName, ///< Same as Name without '.', which separates the parts of an idempotency key.
    Prefix, ///< Path prefix of whole segments.
    Methods, ///< List of HTTP methods.
    Whole, ///< Whole number.
    Number, ///< Decimal number.
    Flag, ///< true or false.
    Choice, ///< One of FieldSpec::choices.
    Map, ///< Map whose fields form a group of the table.
};

/// Specification of one field of the document. The parser, the error texts and docs/document.md follow the table of these.
struct FieldSpec
{
    std::string_view group; ///< Name of the list that the field belongs to, or "floor".
    std::string_view name;
    FieldType type;
    bool required;
    double lowest; ///< Lowest allowed value of Whole and Number.
    double highest; ///< Highest allowed value of Whole and Number.
    std::string_view unit; ///< Unit of Whole and Number.
    std::string_view defaultText; ///< Default as written in the document; empty when the field is required.
    std::string_view choices; ///< Allowed values of Choice, separated by '|'.
};

/// @return the fields of a group, in the order of the documentation
std::span<const FieldSpec> fieldsOf(std::string_view group);

/// @return all fields
std::span<const FieldSpec> fieldTable();

/// @return a description of the allowed values, e.g. "whole number from 1 to 300000, in milliseconds"
std::string allowedText(const FieldSpec &spec);

/// @return the names of a group's fields, separated by ", "
std::string fieldNames(std::string_view group);

} // namespace Galenarack
