from endive_core.catalogue import Catalogue
from endive_core.findings import findings
from endive_core.resources import BackendServerService, Deployment, ModelVersion


def catalogue(**deployments):
    configured = Catalogue()
    configured.deployments.update(deployments)
    configured._index()
    return configured


def test_dangling_references_are_reported_for_the_deployment():
    configured = catalogue(
        chat=Deployment(model="chat", service="engines", version="chat-1")
    )
    assert findings(configured, "deployment", "chat") == [
        "there is no backend server service 'engines'",
        "there is no model version 'chat-1'",
    ]
    configured.services["engines"] = BackendServerService()
    configured.model_versions["chat-1"] = ModelVersion(model="other", weights="w")
    messages = findings(configured, "deployment", "chat")
    assert "lists no servers" in messages[0]
    assert "belongs to the model 'other', not to 'chat'" in messages[1]


def test_second_deployment_of_a_model_reports_which_one_serves_it():
    configured = catalogue(
        a=Deployment(model="chat", service="s"), b=Deployment(model="chat", service="s")
    )
    assert (
        "'a' already serves the model 'chat'"
        in findings(configured, "deployment", "b")[-1]
    )
    assert "already" not in " ".join(findings(configured, "deployment", "a"))
