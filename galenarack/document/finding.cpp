#include <galenarack/document/finding.h>

#include <algorithm>

namespace Galenarack {

namespace {
/// Limit of a value shown in an error. A section may contain a value of up to 1 MB; the error line must stay readable.
constexpr std::size_t maxShownValueBytes = 80;
} // namespace

std::string shortened(std::string_view value)
{
    if (value.size() <= maxShownValueBytes) {
        return std::string(value);
    }
    return std::string(value.substr(0, maxShownValueBytes)) + "...";
}

std::string Finding::toString() const
{
    std::string text = "section " + this->section;
    text += " (owner " + (this->owner.empty() ? std::string("unknown") : this->owner) + ")";
    if (this->line > 0) {
        text += " line " + std::to_string(this->line);
    }
    text += ": ";
    if (!this->field.empty()) {
        text += this->field + ": ";
    }
    text += this->problem;
    if (!this->value.empty()) {
        text += ": '" + this->value + "'";
    }
    if (!this->allowed.empty()) {
        text += "; allowed: " + this->allowed;
    }
    return text;
}

void sortFindings(std::vector<Finding> &findings)
{
    std::ranges::sort(findings);
    findings.erase(std::unique(findings.begin(), findings.end()), findings.end());
}

} // namespace Galenarack
