/// The store cuts waiting watches while a backend leaves as planned.

#include "leavingcase.h"

#include <exception>

using namespace Review;

int main(int argc, char **argv)
{
    if (argc != 3) {
        return couldNotRun;
    }
    Record record(argv[1]);
    try {
        return LeavingCase(StoreTrouble::CutWatches, "127.0.53", record, argv[2]).run();
    } catch (const std::exception &error) {
        record.say(std::string("could not run: ") + error.what());
        return couldNotRun;
    }
}
