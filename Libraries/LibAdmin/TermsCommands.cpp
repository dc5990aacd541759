#include <LibAdmin/Commands.h>
#include <LibAdmin/JsonFields.h>
#include <LibAdmin/TextTable.h>
#include <LibCore/StatusText.h>
#include <fmt/format.h>

namespace Bergamot {

namespace {

    using Json = nlohmann::json;

    std::string termsText(const Json& terms)
    {
        if (terms.empty())
            return "-";
        return fmt::format("{}/s, {}", numberField(terms, "requests_per_second"), numberField(terms, "concurrency"));
    }

    /// Returns the client's entry in a reply to `GET /admin/terms`, or null.
    const Json* findClient(const Json& terms, const std::string& name)
    {
        for (const auto& it : listField(terms, "clients")) {
            if (textField(it, "client") == name)
                return &it;
        }
        return nullptr;
    }

    AdminFailure unknownClient(const std::string& name)
    {
        return { .type = "unknown-client",
            .message = fmt::format("client \"{}\" does not exist", name),
            .next = "see the clients with: bergamotctl terms show" };
    }

    std::string describeRenewal(const Json& renewed)
    {
        return fmt::format("Client {} has renewal {}: {} requests/s, {} requests in progress{}.\n",
            textField(renewed, "client"), numberField(renewed, "renewal"), numberField(renewed, "requests_per_second"),
            numberField(renewed, "concurrency"),
            flagField(renewed, "reduced") ? " (reduced to the largest terms that fit)" : "");
    }

}

ExitStatus showTerms(CommandContext& context)
{
    auto reply = context.session.get("/admin/terms");
    if (auto* failure = std::get_if<AdminFailure>(&reply))
        return context.output.fail(*failure);
    auto terms = std::get<Json>(reply);
    if (auto name = context.arguments.text("CLIENT"); !name.empty()) {
        const auto* client = findClient(terms, name);
        if (!client)
            return context.output.fail(unknownClient(name));
        terms["clients"] = Json::array({ *client });
    }
    TextTable table({ "CLIENT", "RENEWAL", "LEFT", "TERMS", "NEXT", "IN USE", "CLASS", "IF IT DOES NOT FIT" });
    for (const auto& it : listField(terms, "clients"))
        table.addRow({ textField(it, "client"), std::to_string(numberField(it, "renewal")),
            std::to_string(numberField(it, "renewals_left")), termsText(it), termsText(objectField(it, "next")),
            std::to_string(numberField(it, "in_use")), textField(it, "priority_class"),
            textField(it, "on_insufficient_capacity") });
    const auto& capacity = objectField(terms, "capacity");
    context.output.writeResult(terms,
        fmt::format("{}slots: {}, {} with the largest zone out, {} guaranteed\n", table.text(),
            numberField(capacity, "slots"), numberField(capacity, "slots_largest_zone_out"),
            numberField(capacity, "guaranteed")));
    return ExitStatus::Ok;
}

ExitStatus renewTerms(CommandContext& context)
{
    auto name = context.arguments.text("CLIENT");
    auto renewal = context.arguments.number("--renewal");
    if (!renewal.ok())
        return context.output.fail(ExitStatus::InvalidInput, statusText(renewal.status()), "see: bergamotctl --help");
    if (!renewal->has_value()) {
        auto terms = context.session.get("/admin/terms");
        if (auto* failure = std::get_if<AdminFailure>(&terms))
            return context.output.fail(*failure);
        const auto* client = findClient(std::get<Json>(terms), name);
        if (!client)
            return context.output.fail(unknownClient(name));
        renewal = numberField(*client, "renewal") + 1;
    }
    auto path = fmt::format("/admin/terms/{}/renew", percentEncoded(name));
    auto reply = context.session.post(path, { { "renewal", **renewal } }, false);
    if (auto* failure = std::get_if<AdminFailure>(&reply)) {
        if (failure->type == "renewal-conflict") {
            auto inForce = failure->problem;
            inForce["client"] = name;
            context.output.writeErrorDetail({ { "in_force", inForce } }, describeRenewal(inForce));
        }
        if (failure->type == "insufficient-capacity")
            context.output.writeErrorDetail(failure->problem,
                fmt::format("Requested: {}. Largest that fits: {}.\n",
                    termsText(objectField(failure->problem, "requested")),
                    termsText(objectField(failure->problem, "largest"))));
        if (failure->type == "outcome-unknown")
            failure->next = fmt::format(
                "see `bergamotctl terms show {}`; repeating with --renewal {} cannot renew twice", name, **renewal);
        return context.output.fail(*failure);
    }
    context.output.writeResult(std::get<Json>(reply), describeRenewal(std::get<Json>(reply)));
    return ExitStatus::Ok;
}

}
