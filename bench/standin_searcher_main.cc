// Runs many stand-in searchers in one process, on loopback.
//
//   standin_searcher --deployment searchers.json --control 127.0.0.1:9000
//                    --entries 127.0.0.1:8001,127.0.0.1:8002
//
// The deployment file is {"defaults": {...}, "searchers": [{...}, ...]} with
// the fields of searcher_options.h.

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "bench/endpoint.h"
#include "bench/searcher_options.h"
#include "bench/stand_in_control.h"
#include "bench/stand_in_searcher.h"

namespace bilberrycourse {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

json::object ReadJsonFile(const std::string& path) {
  std::ifstream stream(path);
  if (!stream) throw std::runtime_error("cannot read " + path);
  const std::string text(std::istreambuf_iterator<char>(stream), {});
  return json::parse(text).as_object();
}

void Run(const std::string& deployment, const std::string& entry_list,
         const std::string& control_address, int thread_count) {
  using guard = asio::executor_work_guard<asio::io_context::executor_type>;
  std::vector<std::unique_ptr<asio::io_context>> contexts;
  std::vector<guard> guards;
  for (int i = 0; i < thread_count; ++i) {
    contexts.push_back(std::make_unique<asio::io_context>(1));
    guards.emplace_back(contexts.back()->get_executor());
  }

  const auto entries = ParseEndpoints(entry_list);
  const json::object file = ReadJsonFile(deployment);
  searcher_options defaults;
  if (const auto* fields = file.if_contains("defaults")) {
    ApplyJson(fields->as_object(), &defaults);
  }
  std::vector<std::unique_ptr<stand_in_searcher>> searchers;
  for (const auto& item : file.at("searchers").as_array()) {
    searcher_options options = defaults;
    ApplyJson(item.as_object(), &options);
    const std::size_t index = searchers.size();
    const std::size_t entry = entries.empty() ? 0 : index % entries.size();
    searchers.push_back(std::make_unique<stand_in_searcher>(
        options, entries, entry, contexts[index % contexts.size()].get()));
    if (options.started) searchers.back()->Start();
  }

  asio::io_context control_context(1);
  stand_in_control control(&searchers, ParseEndpoint(control_address),
                           &control_context);
  control.Start();
  asio::signal_set signals(control_context, SIGINT, SIGTERM);
  signals.async_wait(
      [&](boost::system::error_code, int) { control_context.stop(); });
  std::vector<std::jthread> threads;
  threads.reserve(contexts.size());
  for (auto& context : contexts) {
    threads.emplace_back([&context] { context->run(); });
  }
  std::cout << json::serialize(json::object{{"event", "started"},
                                            {"searchers", searchers.size()}})
            << std::endl;
  control_context.run();
  for (auto& context : contexts) context->stop();
}

}  // namespace
}  // namespace bilberrycourse

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  std::string deployment;
  std::string entries;
  std::string control;
  int threads = 2;
  po::options_description options("Stand-in searchers");
  options.add_options()("help", "print this text")(
      "deployment", po::value(&deployment)->required(),
      "JSON file that describes the searchers")(
      "entries", po::value(&entries)->default_value(""),
      "addresses of the entry instances, comma-separated")(
      "control", po::value(&control)->required(),
      "address of the control port")(
      "threads", po::value(&threads)->default_value(2), "worker threads");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    if (values.contains("help")) {
      std::cout << options;
      return 0;
    }
    po::notify(values);
    bilberrycourse::Run(deployment, entries, control, std::max(threads, 1));
  } catch (const std::exception& error) {
    std::cerr << "standin_searcher: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
