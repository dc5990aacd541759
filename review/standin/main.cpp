#include "Cases.h"
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>

using namespace Review;

int main(int argc, char** argv)
{
    if (argc != 4) {
        std::fprintf(stderr, "usage: review-case CASE ROOT RECORD\n");
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::string name = argv[1];
    const char* trouble = std::getenv("TROUBLE");
    bool isTrouble = !trouble || std::strcmp(trouble, "0") != 0;
    char folder[] = "/tmp/review-case-XXXXXX";
    if (!mkdtemp(folder))
        return 2;
    auto verdict = Verdict::CouldNotRun;
    {
        Deployment deployment({ .root = argv[2],
            .folder = folder,
            .recordPath = argv[3],
            .nodes = name == "regions" ? 4 : 3,
            .workers = name == "many-ends" ? 2 : 8,
            .hasTwoRegions = name == "regions" });
        if (!deployment.start())
            deployment.record().add("the deployment is not ready");
        else if (name == "false-refusal")
            verdict = playFalseRefusal(deployment, isTrouble);
        else if (name == "history")
            verdict = playHistory(deployment, isTrouble);
        else if (name == "regions")
            verdict = playRegions(deployment, isTrouble);
        else if (name == "many-ends")
            verdict = playManyEnds(deployment, isTrouble);
        else if (name == "two-runs")
            verdict = playTwoRuns(deployment, isTrouble);
    }
    if (std::getenv("KEEP_LOGS"))
        std::printf("logs: %s\n", folder);
    else
        std::filesystem::remove_all(folder);
    std::printf("%s\n", verdict == Verdict::Held ? "held" : verdict == Verdict::Broken ? "broken" : "could not run");
    return static_cast<int>(verdict);
}
