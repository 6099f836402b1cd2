#include <galenarack/document/documentparser.h>

#include <galenarack/core/digest.h>
#include <galenarack/document/yamltree.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace Galenarack {

namespace {

constexpr std::size_t maxNameBytes = 63;
constexpr std::size_t maxPrefixBytes = 512;
constexpr std::size_t maxTextBytes = 1000;

bool isNameByte(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameBytes && std::ranges::all_of(text, isNameByte);
}

bool isVmName(std::string_view text)
{
    return isName(text) && text.find('.') == std::string_view::npos;
}

bool isPrefixSegment(std::string_view segment)
{
    static constexpr std::string_view excluded = "?#%\\";
    const auto isAllowed = [](char c) {
        return c > ' ' && c < '\x7f' && excluded.find(c) == std::string_view::npos;
    };
    return !segment.empty() && segment != "." && segment != ".." && std::ranges::all_of(segment, isAllowed);
}

bool isPrefix(std::string_view text)
{
    if (text == "/") {
        return true;
    }
    if (text.empty() || text.size() > maxPrefixBytes || text.front() != '/') {
        return false;
    }
    while (!text.empty()) {
        text.remove_prefix(1);
        const std::string_view segment = text.substr(0, text.find('/'));
        if (!isPrefixSegment(segment)) {
            return false;
        }
        text.remove_prefix(segment.size());
    }
    return true;
}

bool isMethod(std::string_view text)
{
    return !text.empty() && text.size() <= 20 && std::ranges::all_of(text, [](char c) {
        return c >= 'A' && c <= 'Z';
    });
}

/// Parses a decimal number. Octal, hexadecimal and sexagesimal numbers of YAML are not accepted, as they are easily misread.
template<typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

/// Maximum number of errors listed for one section. A malformed section of 1 MB could have 250,000; the first ones suffice to find the
/// cause.
constexpr std::size_t maxFindings = 1'000;

/// Collects the findings of one section.
class FindingSink
{
public:
    explicit FindingSink(std::vector<Finding> &findings)
        : findings(findings)
    {
    }

    void add(unsigned line, std::string_view field, std::string_view value, std::string_view problem, std::string_view allowed)
    {
        if (this->findings.size() >= maxFindings) {
            ++this->unlisted;
            return;
        }
        this->findings.push_back({{}, {}, line, std::string(field), shortened(value), std::string(problem), std::string(allowed)});
    }

    /// Adds a finding with the number of errors that are not listed. Must be called once, after the last add().
    void finish()
    {
        if (this->unlisted > 0) {
            const std::string problem = "errors that are not listed: " + std::to_string(this->unlisted);
            this->findings.push_back({{}, {}, 0, {}, {}, problem, {}});
        }
    }

    /// @return whether an error of the field has been added
    bool hasField(std::string_view field) const
    {
        return std::ranges::find(this->findings, field, &Finding::field) != this->findings.end();
    }

private:
    std::vector<Finding> &findings;
    std::size_t unlisted = 0;
};

/// Reads the fields of one row and checks them against the field table.
class RowReader
{
public:
    RowReader(const YamlNode &map, std::string_view group, FindingSink &sink)
        : group(group)
        , specs(fieldsOf(group))
        , sink(sink)
    {
        if (map.kind != YamlNode::Kind::Map) {
            sink.add(map.line, group, map.text(), "not a map", "map with " + fieldNames(group));
            return;
        }
        for (std::size_t i = 0; i + 1 < map.children.size(); i += 2) {
            this->addField(map.children[i], map.children[i + 1]);
        }
        for (std::size_t i = 0; i < this->specs.size(); ++i) {
            if (this->specs[i].required && this->values[i] == nullptr) {
                sink.add(map.line, this->specs[i].name, "", "the field is missing", allowedText(this->specs[i]));
            }
        }
    }

    /// Each of the functions below stores the value of a field when it is present and valid, and reports an error when it is invalid.
    void text(std::string_view field, std::string &target)
    {
        const auto [spec, value] = this->find(field);
        if (value == nullptr) {
            return;
        }
        const bool valid = value->kind == YamlNode::Kind::Scalar && isValidText(spec->type, value->scalar);
        if (valid) {
            target = value->scalar;
        } else {
            this->report(*spec, *value, "not a valid value");
        }
    }

    template<typename Number>
    void number(std::string_view field, Number &target)
    {
        using Parsed = std::conditional_t<std::is_integral_v<Number>, std::int64_t, double>;
        const auto [spec, value] = this->find(field);
        if (value == nullptr) {
            return;
        }
        const auto parsed = value->kind == YamlNode::Kind::Scalar ? parseNumber<Parsed>(value->scalar) : std::nullopt;
        if (!parsed || !std::isfinite(static_cast<double>(*parsed))) {
            this->report(*spec, *value, std::is_integral_v<Number> ? "not a whole number" : "not a number");
        } else if (static_cast<double>(*parsed) < spec->lowest || static_cast<double>(*parsed) > spec->highest) {
            this->report(*spec, *value, "out of range");
        } else {
            target = static_cast<Number>(*parsed);
        }
    }

    /// @param unit duration that a field value of 1 stands for
    void duration(std::string_view field, Duration unit, Duration &target)
    {
        std::int64_t count = target / unit;
        this->number(field, count);
        target = unit * count;
    }

    template<typename Enumeration>
    void choice(std::string_view field, Enumeration &target)
    {
        const auto [spec, value] = this->find(field);
        if (value == nullptr) {
            return;
        }
        // The table lists the choices in the order of the enumeration.
        std::string_view rest = spec->choices;
        for (int i = 0; value->kind == YamlNode::Kind::Scalar && !rest.empty(); ++i) {
            const std::string_view name = rest.substr(0, rest.find('|'));
            if (name == value->scalar) {
                target = static_cast<Enumeration>(i);
                return;
            }
            rest.remove_prefix(std::min(rest.size(), name.size() + 1));
        }
        this->report(*spec, *value, "unknown value");
    }

    std::optional<bool> flag(std::string_view field)
    {
        const auto [spec, value] = this->find(field);
        if (value == nullptr) {
            return std::nullopt;
        }
        if (value->kind == YamlNode::Kind::Scalar && (value->scalar == "true" || value->scalar == "false")) {
            return value->scalar == "true";
        }
        this->report(*spec, *value, "not a boolean");
        return std::nullopt;
    }

    void methods(std::string_view field, std::vector<std::string> &target)
    {
        const auto [spec, value] = this->find(field);
        if (value == nullptr) {
            return;
        }
        if (value->kind != YamlNode::Kind::Sequence || value->children.empty()) {
            this->report(*spec, *value, "not a list of HTTP methods");
            return;
        }
        for (const YamlNode &method : value->children) {
            const bool repeated = std::ranges::find(target, method.scalar) != target.end();
            if (method.kind != YamlNode::Kind::Scalar || !isMethod(method.scalar) || repeated) {
                this->report(*spec, method, repeated ? "the method is repeated" : "not an HTTP method");
            } else {
                target.push_back(method.scalar);
            }
        }
    }

    /// @return the node of a field, or null
    const YamlNode *node(std::string_view field)
    {
        return this->find(field).second;
    }

private:
    static bool isValidText(FieldType type, std::string_view text)
    {
        return type == FieldType::Prefix ? isPrefix(text) : type == FieldType::VmName ? isVmName(text) : isName(text);
    }

    void addField(const YamlNode &key, const YamlNode &value)
    {
        const auto spec = std::ranges::find(this->specs, key.scalar, &FieldSpec::name);
        if (key.kind != YamlNode::Kind::Scalar || spec == this->specs.end()) {
            this->sink.add(key.line, this->group, key.text(), "unknown field", "fields " + fieldNames(this->group));
            return;
        }
        const YamlNode *&target = this->values[static_cast<std::size_t>(spec - this->specs.begin())];
        if (target != nullptr) {
            this->sink.add(key.line, spec->name, value.text(), "the field is given twice", "one value");
            return;
        }
        target = &value;
    }

    std::pair<const FieldSpec *, const YamlNode *> find(std::string_view field) const
    {
        const auto spec = std::ranges::find(this->specs, field, &FieldSpec::name);
        return {&*spec, this->values[static_cast<std::size_t>(spec - this->specs.begin())]};
    }

    void report(const FieldSpec &spec, const YamlNode &value, std::string_view problem)
    {
        this->sink.add(value.line, spec.name, value.text(), problem, allowedText(spec));
    }

    std::string_view group;
    std::span<const FieldSpec> specs;
    FindingSink &sink;
    std::array<const YamlNode *, 8> values{}; ///< Value of each field of the group; null when absent.
};

void readRow(const YamlNode &node, FindingSink &sink, SectionRow<ServiceRow> &target)
{
    RowReader reader(node, "services", sink);
    reader.text("name", target.row.name);
    reader.choice("profile", target.row.profile);
    reader.number("queue", target.row.queueLimit);
    const YamlNode *floorNode = reader.node("floor");
    if (floorNode == nullptr) {
        return;
    }
    RowReader floorReader(*floorNode, "floor", sink);
    floorReader.number("count", target.row.floor.count);
    floorReader.number("share", target.row.floor.share);
    floorReader.number("per_failure_domain", target.row.floor.perFailureDomain);
    const bool hasCount = floorReader.node("count") != nullptr;
    const bool hasShare = floorReader.node("share") != nullptr;
    if (hasCount == hasShare) {
        sink.add(floorNode->line, "floor", hasCount ? "count and share" : "", "needs exactly one of count and share", "count or share");
    }
}

void readRow(const YamlNode &node, FindingSink &sink, SectionRow<UpstreamRow> &target)
{
    RowReader reader(node, "upstreams", sink);
    reader.text("name", target.row.name);
    reader.text("service", target.service);
    reader.text("vm", target.row.vm);
    reader.text("failure_domain", target.row.failureDomain);
    reader.number("slots", target.row.slots);
    reader.choice("rule", target.row.rule);
}

void readRow(const YamlNode &node, FindingSink &sink, SectionRow<RouteRow> &target)
{
    RowReader reader(node, "routes", sink);
    reader.text("prefix", target.row.prefix);
    reader.methods("methods", target.row.methods);
    reader.text("service", target.service);
    target.row.repeatable = reader.flag("repeatable");
    reader.duration("deadline_ms", std::chrono::milliseconds(1), target.row.deadline);
    target.row.hedge = reader.flag("hedge").value_or(false);
    if (target.row.hedge && target.row.repeatable == false) {
        sink.add(
            reader.node("hedge")->line, "hedge", "true", "requests that are not repeatable cannot be hedged", "false, or repeatable: true");
    }
}

void readRow(const YamlNode &node, FindingSink &sink, SectionRow<AccountRow> &target)
{
    RowReader reader(node, "accounts", sink);
    reader.text("name", target.row.name);
    reader.number("max_in_flight", target.row.maxInFlight);
    reader.number("rate_per_s", target.row.ratePerSecond);
}

void readTimings(const YamlNode &node, FindingSink &sink, Timings &timings)
{
    RowReader reader(node, "timings", sink);
    reader.duration("retry_horizon_s", std::chrono::seconds(1), timings.retryHorizon);
    reader.duration("answer_retention_s", std::chrono::seconds(1), timings.answerRetention);
    reader.number("max_retire_share", timings.maxRetireShare);
    reader.duration("ejection_base_s", std::chrono::seconds(1), timings.ejectionBase);
    reader.duration("ejection_max_s", std::chrono::seconds(1), timings.ejectionMax);
    if (timings.ejectionMax < timings.ejectionBase) {
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(timings.ejectionBase).count();
        sink.add(node.line, "ejection_max_s", "", "shorter than ejection_base_s", "at least " + std::to_string(seconds));
    }
}

template<typename Row>
void readRows(const YamlNode &list, FindingSink &sink, std::string_view sectionName, std::vector<SectionRow<Row>> &rows)
{
    if (list.kind != YamlNode::Kind::Sequence) {
        sink.add(list.line, "", list.text(), "not a list", "list of rows");
        return;
    }
    rows.reserve(list.children.size());
    for (const YamlNode &node : list.children) {
        SectionRow<Row> row;
        row.line = node.line;
        row.row.section = sectionName;
        readRow(node, sink, row);
        rows.push_back(std::move(row));
    }
}

void readList(const YamlNode &list, FindingSink &sink, Section &section)
{
    section.listLine = list.line;
    switch (section.kind) {
    case SectionKind::Services:
        readRows(list, sink, section.info.name, section.services);
        break;
    case SectionKind::Upstreams:
        readRows(list, sink, section.info.name, section.upstreams);
        break;
    case SectionKind::Routes:
        readRows(list, sink, section.info.name, section.routes);
        break;
    case SectionKind::Accounts:
        readRows(list, sink, section.info.name, section.accounts);
        break;
    case SectionKind::Timings:
        readTimings(list, sink, section.timings);
        break;
    }
}

constexpr std::string_view sectionFields = "section, owner, purpose, contact and one of services, upstreams, routes, accounts, timings";

/// Reads one of the header fields section, owner, purpose and contact.
/// @return whether `key` names a header field
bool readHeaderField(const YamlNode &key, const YamlNode &value, FindingSink &sink, SectionInfo &info)
{
    struct Entry
    {
        std::string_view name;
        std::string &target;
    };
    const std::array<Entry, 4> entries
        = {Entry{"section", info.name}, {"owner", info.owner}, {"purpose", info.purpose}, {"contact", info.contact}};
    const auto *const entry = std::ranges::find(entries, key.scalar, &Entry::name);
    if (entry == entries.end()) {
        return false;
    }
    const bool valid = value.kind == YamlNode::Kind::Scalar && !value.scalar.empty() && value.scalar.size() <= maxTextBytes;
    if (!entry->target.empty()) {
        sink.add(key.line, entry->name, value.text(), "the field is given twice", "one value");
    } else if (!valid || (entry->name == "section" && !isName(value.scalar))) {
        const bool isSection = entry->name == "section";
        sink.add(value.line,
                 entry->name,
                 value.text(),
                 "not a valid value",
                 isSection ? "1 to 63 letters, digits, '-', '_' or '.'" : "string of 1 to 1000 bytes");
    } else {
        entry->target = value.scalar;
    }
    return true;
}

/// Reads the four header fields and finds the list or timings of the section.
/// @return the list, or null
const YamlNode *readHeader(const YamlNode &root, FindingSink &sink, Section &section)
{
    const YamlNode *list = nullptr;
    for (std::size_t i = 0; i + 1 < root.children.size(); i += 2) {
        const YamlNode &key = root.children[i];
        if (key.kind == YamlNode::Kind::Scalar && readHeaderField(key, root.children[i + 1], sink, section.info)) {
            continue;
        }
        const auto kind = key.kind == YamlNode::Kind::Scalar ? sectionKindFromName(key.scalar) : std::nullopt;
        if (!kind || list != nullptr) {
            sink.add(key.line, "", key.text(), kind ? "the section has more than one list" : "unknown field", sectionFields);
            continue;
        }
        section.kind = *kind;
        list = &root.children[i + 1];
    }
    if (list == nullptr) {
        sink.add(root.line, "", "", "the section has no list", sectionFields);
    }
    const std::array<std::pair<std::string_view, const std::string *>, 4> required = {{{"section", &section.info.name},
                                                                                       {"owner", &section.info.owner},
                                                                                       {"purpose", &section.info.purpose},
                                                                                       {"contact", &section.info.contact}}};
    for (const auto &[name, value] : required) {
        if (value->empty() && !sink.hasField(name)) {
            sink.add(root.line, name, "", "the field is missing or empty", sectionFields);
        }
    }
    return list;
}

void readSection(std::string_view text, FindingSink &sink, Section &section)
{
    if (text.size() > maxSectionBytes) {
        sink.add(0, "", std::to_string(text.size()) + " bytes", "the section is too large", "at most 1048576 bytes");
        return;
    }
    const YamlResult yaml = parseYaml(text);
    if (!yaml.error.empty()) {
        sink.add(yaml.errorLine, "", "", "not valid YAML: " + yaml.error, "one YAML map");
        return;
    }
    if (yaml.root.kind != YamlNode::Kind::Map) {
        sink.add(yaml.root.line, "", yaml.root.text(), "not a map", sectionFields);
        return;
    }
    const YamlNode *list = readHeader(yaml.root, sink, section);
    if (list != nullptr) {
        readList(*list, sink, section);
    }
}

template<typename Row>
void shiftLines(std::vector<SectionRow<Row>> &rows, unsigned offset)
{
    for (SectionRow<Row> &row : rows) {
        row.line += offset;
    }
}

} // namespace

std::shared_ptr<const Section> DocumentParser::parse(std::string_view text, std::string_view expectedName, unsigned firstLine)
{
    auto section = std::make_shared<Section>();
    FindingSink sink(section->findings);
    readSection(text, sink, *section);
    sink.finish();
    section->info.digest = sha256Hex(text);
    if (!expectedName.empty() && !section->info.name.empty() && section->info.name != expectedName) {
        sink.add(0, "section", section->info.name, "differs from the name in the manifest", expectedName);
    }
    for (Finding &finding : section->findings) {
        finding.section = expectedName.empty() ? section->info.name : std::string(expectedName);
        finding.owner = section->info.owner;
        finding.line += finding.line > 0 ? firstLine - 1 : 0;
    }
    if (firstLine > 1) {
        section->listLine += firstLine - 1;
        shiftLines(section->services, firstLine - 1);
        shiftLines(section->upstreams, firstLine - 1);
        shiftLines(section->routes, firstLine - 1);
        shiftLines(section->accounts, firstLine - 1);
    }
    sortFindings(section->findings);
    return section;
}

} // namespace Galenarack
