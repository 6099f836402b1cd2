#include <standins/common/program.h>

#include <boost/asio/signal_set.hpp>

#include <cstdlib>
#include <exception>
#include <iostream>

namespace Galenarack::StandIns {

void runProgram(std::string_view name, boost::asio::io_context &context, const std::function<void()> &start)
{
    try {
        boost::asio::signal_set signals(context, SIGINT, SIGTERM);
        signals.async_wait([&context](const boost::system::error_code &, int) {
            context.stop();
        });
        start();
        context.run();
        // Exits without destructors: suspended coroutines refer to objects of the program, which would be destroyed before them.
        std::_Exit(EXIT_SUCCESS);
    } catch (const std::exception &error) {
        std::cerr << name << ": " << error.what() << '\n';
        std::_Exit(EXIT_FAILURE);
    }
}

} // namespace Galenarack::StandIns
