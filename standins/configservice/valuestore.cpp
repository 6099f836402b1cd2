#include "valuestore.h"

#include <galenarack/core/digest.h>

#include <fstream>
#include <iterator>
#include <stdexcept>

namespace Galenarack::StandIns {

bool ValueStore::put(const std::string &key, std::string body)
{
    if (body.size() > maxValueBytes) {
        return false;
    }
    std::string tag = sha256Hex(body);
    this->values[key] = StoredValue{std::move(body), std::move(tag)};
    return true;
}

void ValueStore::remove(const std::string &key)
{
    this->values.erase(key);
}

void ValueStore::load(const std::filesystem::path &folder)
{
    for (const auto &entry : std::filesystem::recursive_directory_iterator(folder)) {
        if (!entry.is_regular_file()) {
            continue;
        }
        std::ifstream file(entry.path(), std::ios::binary);
        std::string body(std::istreambuf_iterator<char>(file), {});
        if (!this->put(std::filesystem::relative(entry.path(), folder).generic_string(), std::move(body))) {
            throw std::runtime_error("value exceeds the limit of 1 MiB: " + entry.path().string());
        }
    }
}

const StoredValue *ValueStore::find(std::string_view key) const
{
    const auto found = this->values.find(key);
    return found == this->values.end() ? nullptr : &found->second;
}

} // namespace Galenarack::StandIns
