#include "app/serve.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <boost/program_options.hpp>
#include <chrono>
#include <csignal>
#include <functional>
#include <iostream>
#include <optional>
#include <thread>

#include "app/daemon.h"
#include "app/json_log.h"
#include "app/process_end_log.h"
#include "app/route_daemon.h"
#include "app/settings.h"
#include "bilberrycourse/result_code.h"
#include "platform/platform_protocol.h"

namespace bilberrycourse {
namespace {

namespace leaf = boost::leaf;
namespace po = boost::program_options;

// A log line has at most 4095 bytes; escapes may double the text.
constexpr std::size_t kMaxLoggedDetailBytes = 1500;
// A file that is being written while the daemon starts is read again.
constexpr int kSettingsReads = 4;
constexpr std::chrono::milliseconds kSettingsReadDelay{250};

// Parses --config into `file`. Returns an exit code if the command must not
// continue.
std::optional<int> ReadConfigOption(const std::string& command,
                                    const std::vector<std::string>& args,
                                    std::string* file) {
  po::options_description options("bilberrycourse " + command);
  options.add_options()("help", "print this help")(
      "config", po::value<std::string>(file)->required(),
      "settings file in INI format");
  po::positional_options_description positional;
  positional.add("config", 1);
  try {
    po::variables_map values;
    po::store(po::command_line_parser(args)
                  .options(options)
                  .positional(positional)
                  .run(),
              values);
    if (values.contains("help")) {
      std::cout << options;
      return 0;
    }
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n" << options;
    return Describe(result_code::kInvalidArguments).exit_code;
  }
  return std::nullopt;
}

leaf::result<settings> LoadSettingsOnceWritten(const std::string& file) {
  for (int reads = 1; reads < kSettingsReads; ++reads) {
    auto loaded = LoadSettings(file);
    if (loaded) return loaded;
    std::this_thread::sleep_for(kSettingsReadDelay);
  }
  return LoadSettings(file);
}

// Postpones SIGHUP until the daemon handles it. Without a handler it would end
// the process, and the platform may send it at any moment after the start.
class hangup_block {
 public:
  hangup_block() { Apply(SIG_BLOCK); }
  hangup_block(const hangup_block&) = delete;
  hangup_block& operator=(const hangup_block&) = delete;
  ~hangup_block() { Release(); }

  // Must be called before other threads start, which inherit the block.
  void Release() { Apply(SIG_UNBLOCK); }

 private:
  static void Apply(int how) {
    sigset_t hangup;
    ::sigemptyset(&hangup);
    ::sigaddset(&hangup, SIGHUP);
    ::sigprocmask(how, &hangup, nullptr);
  }
};

// A daemon's log is read without its standard error, so the log names the cause
// as well.
void LogStartFailure(result_code code, const std::string& detail) {
  const result_code_info& info = Describe(code);
  LogEvent(log_level::kError, "start_failed",
           {{"code", info.number},
            {"reason", info.name},
            {"exit_code", info.exit_code},
            {"detail", detail.substr(0, kMaxLoggedDetailBytes)}});
}

// Loads the settings, calls `use` with them, and prints and passes to `failed`
// every error. Returns the exit code.
int WithSettings(
    const std::function<leaf::result<settings>()>& load,
    const std::function<leaf::result<int>(settings)>& use,
    const std::function<void(result_code, const std::string&)>& failed =
        [](result_code, const std::string&) {}) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(config, load());
        return use(std::move(config));
      },
      [&](result_code code, const settings_errors& errors) {
        const std::string text = ToText(errors);
        std::cerr << text;
        failed(code, text);
        return Describe(code).exit_code;
      },
      [&](result_code code, const std::string& detail) {
        const result_code_info& info = Describe(code);
        failed(code, detail);
        std::cerr << "error " << info.number << " " << info.name << ": "
                  << info.explanation << " (" << detail << ")\n";
        return info.exit_code;
      },
      [&] {
        failed(result_code::kInternal, "");
        std::cerr << "error 901 internal\n";
        return Describe(result_code::kInternal).exit_code;
      });
}

}  // namespace

int RunServe(const std::vector<std::string>& args) {
  // A closed log must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  hangup_block hangups;
  std::string file;
  if (const auto code = ReadConfigOption("serve", args, &file)) {
    return *code;
  }
  ConfigureLog({});
  return WithSettings(
      [&] { return LoadSettingsOnceWritten(file); },
      // LEAF would catch an exception, and its text and place would be lost.
      [&](settings config) noexcept -> leaf::result<int> {
        ConfigureLog({config.name, config.level, config.decision_rate});
        LogProcessEnds(config.name);
        if (config.interface == serving_interface::kRoutes) {
          route_daemon process(std::move(config), MakePlatformProtocol());
          hangups.Release();
          BOOST_LEAF_CHECK(process.Run());
          return 0;
        }
        daemon_process process(std::move(config));
        hangups.Release();
        BOOST_LEAF_CHECK(process.Run());
        return 0;
      },
      LogStartFailure);
}

int RunCheckConfig(const std::vector<std::string>& args) {
  std::string file;
  if (const auto code = ReadConfigOption("check-config", args, &file)) {
    return *code;
  }
  return WithSettings([&] { return LoadSettings(file); },
                      [](const settings& config) -> leaf::result<int> {
                        std::cout << config.file << ": ok\n";
                        return 0;
                      });
}

}  // namespace bilberrycourse
