#include "temporaryfolder.h"

#include <cerrno>
#include <cstdlib>
#include <system_error>

namespace Galenarack {

TemporaryFolder::TemporaryFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "galenarack-test-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
        throw std::system_error(errno, std::generic_category(), "mkdtemp");
    }
    this->folder = name;
}

TemporaryFolder::~TemporaryFolder()
{
    if (std::getenv("GALENARACK_KEEP_TEST_FOLDERS") != nullptr) {
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

} // namespace Galenarack
