#include <galenarack/document/yamltree.h>

#include <yaml-cpp/depthguard.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/mark.h>
#include <yaml-cpp/parser.h>

#include <sstream>

namespace Galenarack {

namespace {

unsigned lineOf(const YAML::Mark &mark)
{
    return mark.line < 0 ? 0 : static_cast<unsigned>(mark.line) + 1;
}

/// Builds the tree from the events of the parser.
class TreeBuilder : public YAML::EventHandler
{
public:
    YamlNode releaseRoot()
    {
        return std::move(this->root);
    }
    void OnDocumentStart(const YAML::Mark & /*mark*/) override
    {
    }
    void OnDocumentEnd() override
    {
    }
    void OnNull(const YAML::Mark &mark, YAML::anchor_t /*anchor*/) override
    {
        this->add(YamlNode::Kind::Null, mark, std::string());
    }
    void OnAlias(const YAML::Mark &mark, YAML::anchor_t /*anchor*/) override
    {
        // An alias would make a section hard to read and the line numbers of errors in its value misleading.
        throw YAML::ParserException(mark, "aliases are not allowed; write the value out");
    }
    void OnScalar(const YAML::Mark &mark, const std::string & /*tag*/, YAML::anchor_t /*anchor*/, const std::string &value) override
    {
        this->add(YamlNode::Kind::Scalar, mark, value);
    }
    void OnSequenceStart(const YAML::Mark &mark,
                         const std::string & /*tag*/,
                         YAML::anchor_t /*anchor*/,
                         YAML::EmitterStyle::value /*style*/) override
    {
        this->open(YamlNode::Kind::Sequence, mark);
    }
    void OnSequenceEnd() override
    {
        this->close();
    }
    void OnMapStart(const YAML::Mark &mark,
                    const std::string & /*tag*/,
                    YAML::anchor_t /*anchor*/,
                    YAML::EmitterStyle::value /*style*/) override
    {
        this->open(YamlNode::Kind::Map, mark);
    }
    void OnMapEnd() override
    {
        this->close();
    }

private:
    void open(YamlNode::Kind kind, const YAML::Mark &mark)
    {
        YamlNode node;
        node.kind = kind;
        node.line = lineOf(mark);
        this->path.push_back(std::move(node));
    }
    void close()
    {
        YamlNode node = std::move(this->path.back());
        this->path.pop_back();
        this->attach(std::move(node));
    }
    void add(YamlNode::Kind kind, const YAML::Mark &mark, std::string value)
    {
        YamlNode node;
        node.kind = kind;
        node.line = lineOf(mark);
        node.scalar = std::move(value);
        this->attach(std::move(node));
    }
    void attach(YamlNode node)
    {
        if (this->path.empty()) {
            this->root = std::move(node);
        } else {
            this->path.back().children.push_back(std::move(node));
        }
    }

    YamlNode root;
    std::vector<YamlNode> path; ///< Open sequences and maps, outermost first.
};

} // namespace

std::string YamlNode::text() const
{
    switch (this->kind) {
    case Kind::Null:
        return "nothing";
    case Kind::Scalar:
        return this->scalar;
    case Kind::Sequence:
        return "a list";
    case Kind::Map:
        return "a map";
    }
    return {};
}

YamlResult parseYaml(std::string_view text)
{
    YamlResult result;
    try {
        std::istringstream stream{std::string(text)};
        YAML::Parser parser(stream);
        TreeBuilder builder;
        parser.HandleNextDocument(builder);
        result.root = builder.releaseRoot();
        TreeBuilder rest;
        if (parser.HandleNextDocument(rest)) {
            result.error = "a second YAML document follows; a section is one document";
            result.errorLine = rest.releaseRoot().line;
        }
    } catch (const YAML::DeepRecursion &exception) {
        result.error = "nested too deeply";
        result.errorLine = lineOf(exception.mark);
    } catch (const YAML::Exception &exception) {
        result.error = exception.msg;
        result.errorLine = lineOf(exception.mark);
    }
    return result;
}

} // namespace Galenarack
