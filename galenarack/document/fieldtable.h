#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Galenarack {

/// What a section's list holds.
enum class SectionKind : std::uint8_t {
    Services,
    Upstreams,
    Routes,
    Accounts,
    Timings,
};

/// @return the name of the list in a section, e.g. "services"
std::string_view sectionKindName(SectionKind kind);

/// @return the kind with that list name, or nothing
std::optional<SectionKind> sectionKindFromName(std::string_view name);

/// Type of a field's value.
enum class FieldType : std::uint8_t {
    Name, ///< 1 to 63 letters, digits, '-', '_' or '.'.
    VmName, ///< As Name without '.', which separates the parts of an idempotency key.
    Prefix, ///< Path prefix in whole segments.
    Methods, ///< List of HTTP methods.
    Whole, ///< Whole number.
    Number, ///< Decimal number.
    Flag, ///< true or false.
    Choice, ///< One of FieldSpec::choices.
    Map, ///< Map with fields of its own.
};

/// One field of the document. The parser, the error texts and docs/document.md follow this table.
struct FieldSpec
{
    std::string_view group; ///< List that the field belongs to, or "floor".
    std::string_view name;
    FieldType type;
    bool required;
    double lowest; ///< Of Whole and Number.
    double highest; ///< Of Whole and Number.
    std::string_view unit; ///< Of Whole and Number.
    std::string_view defaultText; ///< As written in the document; empty when required.
    std::string_view choices; ///< Of Choice, separated by '|'.
};

/// @return the fields of a group, in the order of the documentation
std::span<const FieldSpec> fieldsOf(std::string_view group);

/// @return all fields
std::span<const FieldSpec> fieldTable();

/// @return what the field allows, for people, e.g. "whole number from 1 to 300000, in milliseconds"
std::string allowedText(const FieldSpec &spec);

/// @return the names of a group's fields, separated by ", "
std::string fieldNames(std::string_view group);

} // namespace Galenarack
