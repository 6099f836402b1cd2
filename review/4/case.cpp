/// The store's answer to one watch is lost; some seconds later a backend leaves as planned.

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
        return LeavingCase(StoreTrouble::LostAnswer, "127.0.54", record, argv[2]).run();
    } catch (const std::exception &error) {
        record.say(std::string("could not run: ") + error.what());
        return couldNotRun;
    }
}
